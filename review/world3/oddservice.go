//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Times and habits of the scenario.
const (
	ledgerAt     = 8500 * time.Millisecond // a moment after the host's own entry
	feedTime     = 14 * time.Second
	feedDeadline = time.Second
	feedWork     = 15 * time.Millisecond
	feedPause    = 400 * time.Millisecond // on average
)

var feedRoute = netip.MustParseAddrPort("127.31.4.2:8443")

func init() { scenarios["odd-service"] = playOddService }

// playOddService plays feeds on flows that stay open. Once, another writer writes an entry under a host's key, of a service
// that is named nowhere and at an address where nothing listens any more.
func playOddService(w *world, hasTrouble bool) ([]string, error) {
	if err := w.startSmallSite(bookingService, feedWork); err != nil {
		return nil, err
	}
	w.await(calmTime)
	if hasTrouble {
		go func() {
			w.await(ledgerAt)
			w.writeLedger(w.hosts[0])
		}()
	}
	ends := w.record.start.Add(feedTime)
	finished := make(chan struct{})
	for i, c := range w.clients {
		for j := range loadPerClient {
			go func() {
				w.feed(c, fmt.Sprintf("f%d-%d", i, j), ends)
				finished <- struct{}{}
			}()
		}
	}
	for range len(w.clients) * loadPerClient {
		<-finished
	}
	w.judgeStrays()
	return w.takeBroken(), nil
}

// writeLedger writes the other writer's entry. Nothing listens at the address that it names.
func (w *world) writeLedger(h *host) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 31, 2, 99}), w.ports.control)
	w.record.add("another writer writes the entry of %s, of the service ledger, at %v", h.id, address)
	w.store.PutBytes(wire.HostsPrefix+h.id, toJSON(map[string]any{
		"service": "ledger", "address": address.String(), "zone": h.zone, "version": "v9", "slots": hostSlots,
		"state": "ready", wire.SlowStartField: 0, "seq": 1, "born": h.born,
	}))
}

// feed keeps a flow open for many requests, with pauses between them, and opens another when it ends.
func (w *world) feed(c *client, name string, ends time.Time) {
	for n := 0; time.Now().Before(ends); {
		f := c.newFlow(feedRoute)
		isOpen, why := f.open()
		if !isOpen {
			w.record.add("feed %s: %s", name, why)
			f.end(true)
			continue
		}
		for time.Now().Before(ends) {
			n++
			r := f.ask(request{id: fmt.Sprintf("%s-%d", name, n), method: "GET", path: "/feed"}, time.Now().Add(feedDeadline))
			w.record.add("feed %s, request %d: %v", name, n, r)
			if r.status == 0 {
				break
			}
			if f.hasEndedIn(time.Duration(rand.Int64N(int64(2 * feedPause)))) {
				w.record.add("feed %s ended between requests", name)
				break
			}
		}
		f.end(true)
	}
}

// hasEndedIn waits between two requests, takes in what comes meanwhile, and reports whether the flow has ended.
func (f *clientFlow) hasEndedIn(length time.Duration) bool {
	deadline := time.After(length)
	for {
		select {
		case a := <-f.inbox:
			if f.handle(&a) != "" {
				return true
			}
		case <-deadline:
			return false
		}
	}
}
