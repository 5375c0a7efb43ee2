//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playPartition: hosts of one zone are replaced, as a release does, and the only machine of that
// zone freezes for 4 s, so that machines of other zones carry its clients' flows.
func playPartition(w *world, hasTrouble bool) error {
	done := make(chan struct{})
	defer close(done)
	w.putFeedAndBooking()
	hosts := map[string]*host{}
	for number := uint64(1); number <= 3; number++ {
		h, err := w.addHost(0x5400+number, "despacho", "bakirkoy", 1)
		if err != nil {
			return err
		}
		hosts[h.id] = h
	}
	for number := uint64(11); number <= 12; number++ {
		for _, zone := range []string{"kadikoy", "besiktas"} {
			if _, err := w.addHost(0x5400+number+uint64(len(zone))<<8, "despacho", zone, 1); err != nil {
				return err
			}
		}
	}
	var vms []*vm
	for _, zone := range []string{"bakirkoy", "kadikoy", "besiktas"} {
		v, err := w.addVM(zone, nil, false)
		if err != nil {
			return err
		}
		vms = append(vms, v)
	}
	for _, v := range vms {
		v.seeds = []string{vms[0].control(), vms[1].control(), vms[2].control()}
	}
	if err := w.startSystem(done); err != nil {
		return err
	}
	clients, err := w.addClients("bakirkoy")
	if err != nil {
		return err
	}
	feeds, err := openServed(clients, "feed", feedAddress, 45, nil)
	if err != nil {
		return err
	}
	return playRelease(w, clients, vms, hosts, feeds, hasTrouble)
}

// playRelease replaces two of the three hosts, freezes the machine and sends requests on the flows
// that are still open.
func playRelease(w *world, c *zoneClients, vms []*vm, hosts map[string]*host, feeds map[string][]*clientFlow, hasTrouble bool) error {
	var stays *host
	var leaving []*host
	for _, h := range hosts {
		if stays == nil {
			stays = h
			continue
		}
		leaving = append(leaving, h)
		if _, err := w.addHost(h.identity+0x20, "despacho", "bakirkoy", 1); err != nil {
			return err
		}
		if err := h.publish(names.StateLeaving); err != nil {
			return err
		}
		time.Sleep(time.Second) // one at a time
	}
	time.Sleep(3500 * time.Millisecond) // a host serves for 3 s after its report and a little longer
	for _, h := range leaving {
		h.exit(50 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	frozen, carrier := vms[0], vms[1]
	if hasTrouble {
		frozen.signal(syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	for hasTrouble && frozen.isInService() {
		if time.Since(frozenAt) > 3*time.Second {
			return errors.New("the frozen machine stays in rotation")
		}
		time.Sleep(10 * time.Millisecond)
	}
	// Flows are found by the machine that the router now picks for them.
	pick := func(flows []*clientFlow, v *vm) []*clientFlow {
		var picked []*clientFlow
		for _, f := range flows {
			if !hasTrouble || c.route(f.key) == v {
				picked = append(picked, f)
			}
		}
		return picked
	}
	waiting := pick(feeds[stays.id], carrier)
	waiting = waiting[:min(6, len(waiting))]
	if len(waiting) < 3 {
		return fmt.Errorf("only %d feeds at the host that stays", len(waiting))
	}
	// The flows that stay are served once through the machine that now carries them.
	for _, f := range waiting {
		if hostOf(f.request(f.name+"-carried", feedWorkMS, time.Second)) != stays.id {
			return fmt.Errorf("flow %s was not carried on", f.name)
		}
	}
	var wait sync.WaitGroup
	for _, h := range leaving {
		gone := pick(feeds[h.id], carrier)
		if len(gone) == 0 {
			return errors.New("no feed at a host that left")
		}
		wait.Go(func() { gone[0].request("feed-of-"+h.id, feedWorkMS, 1200*time.Millisecond) })
	}
	time.Sleep(450 * time.Millisecond)
	// Datagrams to one client are lost on its link for the time of its first copy.
	c.setDeaf(true, waiting[0])
	wait.Go(func() { waiting[0].request("feed-deaf", feedWorkMS, 1200*time.Millisecond) })
	time.Sleep(deafTime)
	c.setDeaf(false, waiting[0])
	for i, f := range waiting[1:] {
		wait.Go(func() { f.request(fmt.Sprintf("feed-next-%d", i+1), feedWorkMS, 1200*time.Millisecond) })
		time.Sleep(30 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(time.Until(frozenAt.Add(4 * time.Second)))
	if hasTrouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Second)
	checkResets(w, stays.id, feeds[stays.id])
	return nil
}
