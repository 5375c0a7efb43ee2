//go:build review

package main

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Services, routes and times of the scenario.
const (
	bookingService = "booking-core"
	uploadService  = "portfolio-store"
	calmTime       = 6 * time.Second
	oddTime        = 40 * time.Second
	uploadDeadline = 5 * time.Second
	uploadBytes    = 20000  // the mean on the small sites
	uploadMaxBytes = 120000 // and the most
	uploadWork     = 5 * time.Millisecond
	oddInterval    = 150 * time.Millisecond // between entries of the other writer
)

var uploadRoute = netip.MustParseAddrPort("198.18.0.1:8443")

func init() { scenarios["odd-service"] = playOddService }

// playOddService plays uploads while another writer's entry, of a service that is named nowhere, stands in place of a
// host's own most of the time.
func playOddService(w *world, hasTrouble bool) ([]string, error) {
	if err := w.startSmallSite(uploadService, uploadWork); err != nil {
		return nil, err
	}
	w.await(calmTime)
	done := make(chan struct{})
	if hasTrouble {
		go w.writeOddEntries(w.hosts[0], w.hosts[1], done)
	}
	w.press(oddTime, load{route: uploadRoute, deadline: uploadDeadline, next: func() request {
		return request{method: "POST", path: "/photos", bodyLen: uploadBytes + rand.IntN(uploadMaxBytes-uploadBytes)}
	}})
	close(done)
	w.judgeStrays()
	return w.takeBroken(), nil
}

// startSmallSite starts three entry VMs and four hosts in two zones, three of them of one service.
func (w *world) startSmallSite(service string, work time.Duration) error {
	w.zones = []string{"kadikoy", "besiktas"}
	if err := w.startStore(w.store); err != nil {
		return err
	}
	others := map[string]string{uploadService: bookingService, bookingService: uploadService}
	services := []string{service, others[service], service, service}
	for i, zone := range []string{"kadikoy", "besiktas", "kadikoy", "besiktas"} {
		h, err := newHost(w, i+1, services[i], zone, work)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	routes := []map[string]any{
		{
			"name": "upload", "hostname": "198.18.0.1", "prefix": "/8443/", "service": uploadService, "type": "upload",
			"timeoutMs": 5000, wire.TargetLatencyField: 500, "priority": 2,
		},
		{
			"name": "hold", "hostname": "198.18.0.1", "prefix": "/8080/", "service": bookingService, "type": "unsafe",
			"timeoutMs": 1200, wire.TargetLatencyField: 120, "priority": 1,
		},
	}
	if err := w.publish(7, routes, []string{bookingService, uploadService}); err != nil {
		return err
	}
	return w.startDaemons([]string{"kadikoy", "kadikoy", "besiktas"}, 4)
}

// writeOddEntries has another writer write its entry under a host's key again and again, beside the host's own.
func (w *world) writeOddEntries(victim, other *host, done chan struct{}) {
	ticker := time.NewTicker(oddInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		w.record.add("another writer writes the entry of %s, of the service ledger, at %s", victim.id, other.address())
		w.store.PutBytes(wire.HostsPrefix+victim.id, toJSON(map[string]any{
			"service": "ledger", "address": other.address(), "zone": victim.zone, "version": "v9", "slots": hostSlots,
			"state": "ready", wire.SlowStartField: 0, "seq": n, "born": victim.born,
		}))
	}
}
