//go:build review

package main

import (
	"net/netip"
	"time"
)

// Times and habits of the scenario.
const (
	holdDeadline = 1200 * time.Millisecond
	holdWork     = 20 * time.Millisecond
	holdBytes    = 900
	holdPath     = "/holds"
	holdTime     = 14 * time.Second
	drainAt      = 7700 * time.Millisecond
	oddAt        = drainAt + drainTime + 300*time.Millisecond
	leaveAt      = oddAt + time.Second
)

var holdRoute = netip.MustParseAddrPort("127.31.4.1:8080")

func init() { scenarios["odd-drain"] = playOddDrain }

// playOddDrain plays holds while a host drains. Once it has drained for drainTime, another writer writes one entry under
// the host's key, none of whose fields is spelled as the platform's are.
func playOddDrain(w *world, hasTrouble bool) ([]string, error) {
	if err := w.startSmallSite(bookingService, holdWork); err != nil {
		return nil, err
	}
	w.await(calmTime)
	go w.drainUnderOddEntry(w.hosts[0], hasTrouble)
	w.press(holdTime-calmTime, load{route: holdRoute, deadline: holdDeadline, next: func() request {
		return request{method: "POST", path: holdPath, bodyLen: holdBytes}
	}})
	w.judgeStrays()
	return w.takeBroken(), nil
}

func (w *world) drainUnderOddEntry(h *host, hasTrouble bool) {
	w.await(drainAt)
	h.drain()
	w.await(oddAt)
	if hasTrouble {
		w.writeMisspelled(h, h.service)
	}
	w.await(leaveAt)
	h.leave()
}

// writeMisspelled has another writer write one entry under a host's key that names a service in fields of other names.
func (w *world) writeMisspelled(h *host, service string) {
	w.record.add("another writer writes the entry of %s, with Service %s, Address, Zone and so on", h.id, service)
	w.store.PutBytes(wire.HostsPrefix+h.id, toJSON(map[string]any{
		"Service": service, "Address": h.address(), "Zone": h.zone, "Version": "v1", "Slots": hostSlots,
		"State": "ready", "WarmupLeftMs": 0, "Seq": 1,
	}))
}
