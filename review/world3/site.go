//go:build review

package main

import "time"

// Services and times of the small site.
const (
	bookingService = "booking-core"
	uploadService  = "portfolio-store"
	calmTime       = 6 * time.Second
)

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
			"name": "upload", "hostname": "127.31.4.1", "prefix": "/8443/", "service": uploadService, "type": "upload",
			"timeoutMs": 5000, wire.TargetLatencyField: 500, "priority": 2,
		},
		{
			"name": "hold", "hostname": "127.31.4.1", "prefix": "/8080/", "service": bookingService, "type": "unsafe",
			"timeoutMs": 1200, wire.TargetLatencyField: 120, "priority": 1,
		},
	}
	routes = append(routes, map[string]any{
		"name": "feed", "hostname": "127.31.4.2", "prefix": "/8443/", "service": bookingService, "type": "safe",
		"timeoutMs": 1000, wire.TargetLatencyField: 100, "priority": 2,
	})
	if err := w.publish(7, routes, []string{bookingService, uploadService}); err != nil {
		return err
	}
	return w.startDaemons([]string{"kadikoy", "kadikoy", "besiktas"}, 4)
}
