//go:build review

// Command world plays one case of the second review: entry VMs as processes of their own, between stand-ins for the
// store, the hosts, the clients and the router, on loopback addresses and the real clock.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// world is what all cases have in common.
type world struct {
	record  *record
	net     string // the first two octets of all addresses
	ports   ports
	folder  string
	store   *store
	proxy   *proxy // in front of the store, if there is one
	daemons []*daemon
	hosts   []*host
	router  *router
	trouble bool
	mu      sync.Mutex
	failed  []string // what broke a rule
}

var cases = map[string]func(*world) error{
	"alias":  playAlias,
	"silent": playSilent,
	"cut":    playCut,
	"state":  playState,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD")
		return exitCannotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer os.RemoveAll(folder)
	w := &world{record: record, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	defer w.end()
	go w.endOnSignal()
	if err := w.choosePorts(); err == nil {
		err = cases[os.Args[1]](w)
	}
	if err != nil {
		record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	for _, f := range w.failed {
		record.line("BROKEN %s", f)
		fmt.Println("BROKEN", f)
	}
	if len(w.failed) > 0 {
		return exitBroken
	}
	record.line("HELD")
	fmt.Println("HELD")
	return exitHeld
}

// endOnSignal ends all processes if the case is stopped or takes too long.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	w.end()
	_ = os.RemoveAll(w.folder)
	os.Exit(exitCannotRun)
}

func (w *world) end() {
	for _, d := range w.daemons {
		d.kill()
	}
}

// choosePorts draws loopback addresses and ports until the ports are free.
func (w *world) choosePorts() error {
	for range 50 {
		w.net = fmt.Sprintf("127.%d", 64+rand.IntN(128))
		base := 12000 + 8*rand.IntN(2000)
		w.ports = ports{datagram: base, ready: base + 1, control: base + 2, internal: base + 3}
		isFree := true
		for port := base; port < base+8; port++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.0.1:%d", w.net, port))
			if err != nil {
				isFree = false
				continue
			}
			_ = listener.Close()
		}
		if isFree {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// startStore starts the store. Its port is the same on each address of the world.
func (w *world) startStore(revision uint64) error {
	var err error
	w.store, err = newStore(w.record, fmt.Sprintf("%s.1.7:%d", w.net, w.ports.datagram+4), revision)
	return err
}

// startHost starts a host and its heartbeats.
func (w *world) startHost(id, service, zone string, work time.Duration) (*host, error) {
	address := fmt.Sprintf("%s.128.%d:%d", w.net, 1+len(w.hosts), w.ports.datagram+5)
	h, err := newHost(w.record, id, service, zone, address, uint16(w.ports.datagram), work)
	if err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	go h.beat(w.store, 1200*time.Millisecond)
	return h, nil
}

// startDaemons starts the entry VMs, each in its zone.
func (w *world) startDaemons(isFirst bool, zones ...string) error {
	seeds, names := []string{}, slices.Compact(slices.Sorted(slices.Values(zones)))
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.10.%d", w.net, 1+i)
		if len(seeds) < 3 {
			seeds = append(seeds, ip)
		}
		w.daemons = append(w.daemons, &daemon{
			record: w.record, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, zones: names, ip: ip,
			ports: w.ports, folder: w.folder, store: w.storeAddress(),
		})
	}
	w.router = &router{record: w.record, daemons: w.daemons}
	for _, d := range w.daemons {
		d.seeds = seeds
		if err := d.start(isFirst); err != nil {
			return err
		}
	}
	w.router.run()
	return nil
}

// storeAddress returns the address at which the entry VMs call the store.
func (w *world) storeAddress() string {
	if w.proxy != nil {
		return w.proxy.address()
	}
	return w.store.address
}

func (w *world) fail(format string, arguments ...any) {
	w.failed = append(w.failed, fmt.Sprintf(format, arguments...))
}
