//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/almondflow/almondflow/platform/standin"
)

// Bounds of the small sites.
const (
	reorderTime = 2000 * time.Millisecond
	drainTime   = 3000 * time.Millisecond
)

// world is one deployment.
type world struct {
	folder       string
	record       *record
	store        *standin.Store
	storeServer  *http.Server
	storeAddress string
	zones        []string
	ports        ports
	daemons      []*daemon
	hosts        []*host
	clients      []*client
	stopChecks   context.CancelFunc

	mu       sync.Mutex
	broken   []string
	flows    map[flowKey]*flowStory
	runs     map[string]int
	rotation []*daemon
}

// flowStory is what happened to the packets of one flow.
type flowStory struct {
	sentAt   time.Time // of the first opening
	host     *host     // at which it is open
	openedAt time.Time
	endedAt  time.Time
	arrivals []flowArrival
}

type flowArrival struct {
	at   time.Time
	host *host
}

func newWorld(folder string) *world {
	return &world{
		folder: folder, record: &record{start: time.Now()}, store: standin.NewStore(),
		flows: map[flowKey]*flowStory{}, runs: map[string]int{},
	}
}

// startStore starts the platform's store.
func (w *world) startStore(handler http.Handler) error {
	listener, err := net.Listen("tcp4", "127.31.0.1:0") //nolint:noctx // listens until it is closed
	if err != nil {
		return err
	}
	w.storeAddress = listener.Addr().String()
	w.storeServer = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = w.storeServer.Serve(listener) }() // until it is closed
	return nil
}

// publish writes a version of the configuration: one route of each kind to each service.
func (w *world) publish(version int, routes []map[string]any, services []string) error {
	listed := make([]map[string]any, 0, len(services))
	for _, s := range services {
		listed = append(listed, map[string]any{"name": s, wire.HealthPathField: "/health", wire.ConnectionsField: 2000})
	}
	return w.store.Put(wire.ConfigKey, map[string]any{
		"version": version, "routes": routes, "services": listed, "limits": map[string]any{wire.IdleField: 12000},
	})
}

// startDaemons starts one entry VM for each of the zones named, and waits until all are in rotation.
func (w *world) startDaemons(zones []string, clients int) error {
	addresses := []netip.Addr{}
	for i := range zones {
		addresses = append(addresses, netip.AddrFrom4([4]byte{127, 31, 1, byte(i + 1)}))
	}
	all := addresses
	for i := range clients {
		all = append(all, netip.AddrFrom4([4]byte{127, 31, 3, byte(i + 1)}))
	}
	var err error
	if w.ports, err = freePorts(all); err != nil {
		return err
	}
	for i, zone := range zones {
		w.daemons = append(w.daemons, &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, address: addresses[i], ports: w.ports})
	}
	for i := range clients {
		c, err := newClient(w, i+1)
		if err != nil {
			return err
		}
		w.clients = append(w.clients, c)
	}
	for _, d := range w.daemons {
		if err := d.start(w, true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.stopChecks = cancel
	for _, d := range w.daemons {
		go w.checkReadiness(ctx, d)
	}
	return w.awaitRotation(len(zones))
}

// awaitRotation waits until a number of entry VMs are in rotation.
func (w *world) awaitRotation(count int) error {
	for range 150 {
		w.mu.Lock()
		in := len(w.rotation)
		w.mu.Unlock()
		if in == count {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all entry VMs came into rotation: %s", w.daemons[0].logPath)
}

// checkReadiness keeps an entry VM in or out of rotation.
func (w *world) checkReadiness(ctx context.Context, d *daemon) {
	for ctx.Err() == nil {
		isReady := d.isReady(ctx)
		w.mu.Lock()
		if isReady {
			d.misses = 0
		} else {
			d.misses++
		}
		if isIn := isReady || d.isIn && d.misses < missesAllowed; isIn != d.isIn {
			d.isIn = isIn
			w.record.add("%s in rotation: %v", d.name, isIn)
			w.rotation = nil
			for _, other := range w.daemons {
				if other.isIn {
					w.rotation = append(w.rotation, other)
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(checkInterval)
	}
}

// route hands a client's packet to the entry VM that the hash selects, of those in rotation.
func (w *world) route(conn *net.UDPConn, p *segment) {
	w.mu.Lock()
	var best *daemon
	var weight uint64
	for _, d := range w.rotation {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, d.name, p.Key) // never fails
		if sum := h.Sum64(); best == nil || sum > weight {
			best, weight = d, sum
		}
	}
	w.mu.Unlock()
	if best == nil {
		return
	}
	datagram, to := p.encode(), best.packets()
	time.AfterFunc(clientDelay, func() { _, _ = conn.WriteToUDPAddrPort(datagram, to) })
}

// close ends all processes and stand-ins.
func (w *world) close() {
	if w.stopChecks != nil {
		w.stopChecks()
	}
	for _, d := range w.daemons {
		d.kill()
	}
	for _, h := range w.hosts {
		h.close()
	}
	for _, c := range w.clients {
		_ = c.conn.Close()
	}
	if w.storeServer != nil {
		_ = w.storeServer.Close()
	}
}

// breakRule records that a rule was broken.
func (w *world) breakRule(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *world) takeBroken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

func toJSON(v any) []byte {
	data, _ := json.Marshal(v) // plain values
	return data
}
