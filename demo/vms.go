package demo

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/almondflow/almondflow/entry"
	"github.com/almondflow/almondflow/fleet"
)

// vm is one entry VM of the demo.
type vm struct {
	name   string
	domain string
	daemon *entry.Daemon
	stop   context.CancelFunc
	done   chan struct{}
	state  fleet.State
	start  time.Time
}

func (v *vm) listed() fleet.VM {
	return fleet.NewVM(v.name, v.domain, v.daemon.DataAddress(), v.daemon.PeerAddress(), v.state)
}

// vms are the entry VMs of the demo, with those that are gone left out.
type vms struct {
	world *world
	mu    sync.Mutex
	all   []*vm
	// gone sums what VMs that are gone have spent.
	goneBytes   uint64
	goneSeconds float64
}

// startAll starts the VMs of the deployment.
func (s *vms) startAll(ctx context.Context) error {
	d := s.world.deployment
	for _, domain := range d.domains {
		for i := range d.vmsPerDomain {
			if _, err := s.start(ctx, fmt.Sprintf("%s-%d", domain, i+1), domain); err != nil {
				return err
			}
		}
	}
	return nil
}

// start starts one VM. It is not in the list before publish.
func (s *vms) start(ctx context.Context, name, domain string) (*vm, error) {
	daemon, err := entry.New(ctx, s.world.config(name, domain), entry.WithLogger(s.world.logger.With("vm", name)))
	if err != nil {
		return nil, err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	v := &vm{
		name: name, domain: domain, daemon: daemon, stop: stop, done: make(chan struct{}),
		state: fleet.Serving, start: time.Now(),
	}
	go func() {
		defer close(v.done)
		_ = daemon.Run(serving)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, v)
	return v, nil
}

func (s *vms) live() []*vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.all)
}

// publish publishes the list of all VMs.
func (s *vms) publish() (uint64, error) {
	var listed []fleet.VM
	for _, v := range s.live() {
		listed = append(listed, v.listed())
	}
	return s.world.publishList(listed)
}

// spray lets the fabric use the VMs that serve.
func (s *vms) spray() {
	var addresses []netip.AddrPort
	for _, v := range s.live() {
		if v.state == fleet.Serving {
			addresses = append(addresses, v.daemon.DataAddress())
		}
	}
	s.world.fabric.SetVMs(addresses)
}

// remove forgets a VM that is gone.
func (s *vms) remove(gone *vm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goneBytes += gone.daemon.ControlBytesSent()
	s.goneSeconds += time.Since(gone.start).Seconds()
	s.all = slices.DeleteFunc(s.all, func(v *vm) bool { return v == gone })
}

// controlRate returns the control bytes that one VM sent in a second.
func (s *vms) controlRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes, seconds := float64(s.goneBytes), s.goneSeconds
	for _, v := range s.all {
		bytes += float64(v.daemon.ControlBytesSent())
		seconds += time.Since(v.start).Seconds()
	}
	if seconds == 0 {
		return 0
	}
	return bytes / seconds
}

// stopAll ends the VMs that are left, without a handover.
func (s *vms) stopAll() {
	for _, v := range s.live() {
		v.daemon.Kill()
		v.stop()
		<-v.done
	}
}
