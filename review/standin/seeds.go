//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/almondflow/almondflow/inband"
)

const (
	configApply = 3 * time.Second // the bound of the rule
	seedRounds  = 5
)

// playSeeds: the seeds in the settings are stale. The machines are stopped and started in turn, and
// the operator adds a route while a machine has been up for three to five seconds.
func playSeeds(w *world, hasTrouble bool) error {
	if _, err := w.addHost(0x5301, "despacho", "valle-sur", 1); err != nil {
		return err
	}
	w.putFeedAndBooking()
	zones := []string{"valle-norte", "valle-norte", "valle-norte", "valle-norte", "valle-centro", "valle-centro", "valle-centro", "valle-sur", "valle-sur"}
	for _, zone := range zones {
		if _, err := w.addVM(zone, nil, false); err != nil {
			return err
		}
	}
	clients, err := w.addClients("valle-sur")
	if err != nil {
		return err
	}
	seeds := []string{w.vms[0].control(), w.vms[4].control(), w.vms[7].control()}
	if hasTrouble { // addresses of machines that are no more
		for i := range seeds {
			seeds[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 14, byte(i + 1)}), w.ports.control).String()
		}
	}
	for _, v := range w.vms {
		v.seeds = seeds
		if err := v.start(); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	var wait sync.WaitGroup
	for round := range seedRounds {
		w.note("round %d: the machines are stopped and started in turn", round+1)
		for _, v := range w.vms {
			wait.Go(func() { restartAndCheck(w, clients, v) })
			time.Sleep(time.Second)
		}
		wait.Wait()
		if w.brokenCount() > 0 {
			break
		}
	}
	return nil
}

// restartAndCheck restarts a machine as planned work does, adds a route once the machine has read the
// store a second time, and checks with flows sent directly to it when the route is in force.
func restartAndCheck(w *world, c *zoneClients, v *vm) {
	v.terminate()
	if err := v.start(); err != nil {
		w.note("%s: %v", v.name, err)
		return
	}
	startedAt := v.started0()
	read := make(chan struct{}, 1)
	v.mu.Lock()
	v.onRead = func(_ *vm, started, _ time.Time) {
		if up := started.Sub(startedAt); up > 2800*time.Millisecond && up < 4800*time.Millisecond {
			select {
			case read <- struct{}{}:
			default:
			}
		}
	}
	v.mu.Unlock()
	select {
	case <-read:
		w.note("%s read the store %v after its start", v.name, time.Since(startedAt).Round(time.Millisecond))
	case <-time.After(time.Until(startedAt.Add(4500 * time.Millisecond))):
	}
	v.mu.Lock()
	v.onRead = nil
	v.mu.Unlock()
	address, acknowledgedAt := w.addRoute()
	for time.Since(acknowledgedAt) < configApply+600*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
		sent := time.Since(acknowledgedAt)
		if sent < configApply-100*time.Millisecond {
			continue
		}
		f := c.newFlow("test", address, nil)
		f.sendThrough(v, inband.Opening, f.iss, 0, nil)
		select {
		case isOpen := <-f.opened:
			if isOpen {
				w.note("%s: the route of %s is in force %v after its acknowledgement", v.name, address, sent)
				return
			}
			if sent > configApply && time.Since(startedAt) > contactTime+sent-configApply+500*time.Millisecond {
				w.breaks("CONFIG: %s, up for %v, refuses a flow of the route %s, sent %v after the acknowledgement", v.name, time.Since(startedAt), address, sent)
			}
		case <-time.After(100 * time.Millisecond):
			w.note("%s: no answer to a flow of %s, sent after %v", v.name, address, sent)
		}
	}
}

// addRoute publishes one route more and returns its address and the time of the acknowledgement.
func (w *world) addRoute() (netip.AddrPort, time.Time) {
	w.tablesMu.Lock()
	defer w.tablesMu.Unlock()
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.15.3"), uint16(9000+len(w.routes)))
	w.routes = append(w.routes, route{fmt.Sprintf("added%d", len(w.routes)), address, "safe", "despacho"})
	return address, w.putTables()
}
