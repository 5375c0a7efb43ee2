//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// deafTime is how long the link of one client loses what is sent to it. It ends after the client's
// first copies, at 200 ms, and before its second ones.
const deafTime = 230 * time.Millisecond

// playSilence: datagrams to one client are lost on the client's own link for 230 ms, while it opens a
// flow and has a request under way at the same host. Flows of other clients at that host are idle.
func playSilence(w *world, hasTrouble bool) error {
	done := make(chan struct{})
	defer close(done)
	clients, first, _, err := startZone(w, done, 0x5100)
	if err != nil {
		return err
	}
	feeds, err := openServed(clients, "feed", feedAddress, 30, first)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	host, err := playDeafClient(w, clients, feeds, first, hasTrouble, func(string) {})
	if err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	checkResets(w, host, feeds[host])
	return nil
}

// startZone starts a zone with two machines and four hosts.
func startZone(w *world, done <-chan struct{}, firstHost uint64) (clients *zoneClients, first, second *vm, err error) {
	w.putFeedAndBooking()
	for number := range uint64(4) {
		if _, err := w.addHost(firstHost+number+1, "despacho", "valle-sur", 1); err != nil {
			return nil, nil, nil, err
		}
	}
	if first, err = w.addVM("valle-sur", nil, false); err != nil {
		return nil, nil, nil, err
	}
	if second, err = w.addVM("valle-sur", nil, false); err != nil {
		return nil, nil, nil, err
	}
	first.seeds = []string{first.control(), second.control()}
	second.seeds = first.seeds
	if err := w.startSystem(done); err != nil {
		return nil, nil, nil, err
	}
	clients, err = w.addClients("valle-sur")
	return clients, first, second, err
}

// playMoved: as playSilence, after a planned restart of the other machine. Bookings that it carries
// again are under way at the host. The machine that carried them meanwhile has seen them idle.
func playMoved(w *world, hasTrouble bool) error {
	done := make(chan struct{})
	defer close(done)
	clients, first, second, err := startZone(w, done, 0x5600)
	if err != nil {
		return err
	}
	feeds, err := openServed(clients, "feed", feedAddress, 30, first)
	if err != nil {
		return err
	}
	bookings, err := openServed(clients, "booking", bookingAddress, 16, second)
	if err != nil {
		return err
	}
	second.terminate()
	for _, flows := range bookings {
		for _, f := range flows {
			if clients.route(f.key) != first {
				return errors.New("the flow of a machine that stopped was not moved")
			}
			if hostOf(f.request(f.name+"-moved", feedWorkMS, time.Second)) == "" {
				return fmt.Errorf("booking flow %s was not carried on", f.name)
			}
		}
	}
	if err := second.start(); err != nil {
		return err
	}
	for !second.isInService() {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(contactTime + 200*time.Millisecond)
	var wait sync.WaitGroup
	host, err := playDeafClient(w, clients, feeds, first, hasTrouble, func(host string) {
		for i, f := range bookings[host] {
			wait.Go(func() {
				time.Sleep(time.Duration(i/hostSlots) * 140 * time.Millisecond)
				if answer := f.request(f.name+"-last", 170, 1500*time.Millisecond); hostOf(answer) == "" {
					w.note("booking %s has reached host %s and is not answered: %s", f.name, host, answer)
				}
			})
		}
	})
	wait.Wait()
	if err != nil {
		return err
	}
	if len(bookings[host]) < hostSlots {
		return errors.New("too few bookings at the host")
	}
	time.Sleep(time.Second)
	checkResets(w, host, bookings[host])
	return nil
}

// playDeafClient lets one client open a flow and, 5 ms later, send a request on a flow that it has at
// the same host, while its link loses what is sent to it. It calls meanwhile after 60 ms and returns the
// host.
func playDeafClient(w *world, c *zoneClients, feeds map[string][]*clientFlow, through *vm, hasTrouble bool, meanwhile func(host string)) (string, error) {
	opening := c.newFlow("new", feedAddress, through)
	placed := make(chan string, 1)
	w.watchOpening(opening.key, placed)
	w.note("the link of the client of flow new loses what is sent to it: %v", hasTrouble)
	c.setDeaf(hasTrouble, opening)
	var wait sync.WaitGroup
	wait.Go(func() { w.note("client new: open: %v", opening.open()) })
	var host string
	select {
	case host = <-placed:
	case <-time.After(time.Second):
		return "", errors.New("the opening reached no host")
	}
	if len(feeds[host]) < 3 {
		return "", fmt.Errorf("host %s has only %d feeds", host, len(feeds[host]))
	}
	request := feeds[host][0]
	c.setDeaf(hasTrouble, request)
	time.Sleep(5 * time.Millisecond)
	wait.Go(func() { request.request("feed-again", feedWorkMS, 1200*time.Millisecond) })
	time.Sleep(55 * time.Millisecond)
	meanwhile(host)
	time.Sleep(deafTime - 60*time.Millisecond)
	c.setDeaf(false, opening, request)
	w.note("the link of the client is as before")
	wait.Wait()
	return host, nil
}
