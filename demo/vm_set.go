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

// vm is an entry VM of the demo.
type vm struct {
	name      string
	domain    string
	daemon    *entry.Daemon
	stop      context.CancelFunc
	done      chan struct{}
	state     fleet.State
	startedAt time.Time
}

// listEntry returns the VM's entry in the published list.
func (v *vm) listEntry() fleet.VM {
	return fleet.NewVM(v.name, v.domain, v.daemon.DataAddress(), v.daemon.PeerAddress(), v.state)
}

// vmSet holds the running entry VMs of the demo.
type vmSet struct {
	env *environment
	mu  sync.Mutex
	all []*vm
	// removedBytes and removedSeconds are the control bytes sent and the time run by all VMs
	// that were removed.
	removedBytes   uint64
	removedSeconds float64
}

// startAll starts all VMs of the deployment.
func (s *vmSet) startAll(ctx context.Context) error {
	d := s.env.deployment
	for _, domain := range d.domains {
		for i := range d.vmsPerDomain {
			if _, err := s.startVM(ctx, fmt.Sprintf("%s-%d", domain, i+1), domain); err != nil {
				return err
			}
		}
	}
	return nil
}

// startVM starts a VM. The list does not include it until publishList.
func (s *vmSet) startVM(ctx context.Context, name, domain string) (*vm, error) {
	daemon, err := entry.New(ctx, s.env.config(name, domain), entry.WithLogger(s.env.logger.With("vm", name)))
	if err != nil {
		return nil, err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	v := &vm{
		name: name, domain: domain, daemon: daemon, stop: stop, done: make(chan struct{}),
		state: fleet.Serving, startedAt: time.Now(),
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

// running returns the VMs that were started and not removed.
func (s *vmSet) running() []*vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.all)
}

// publishList publishes the list of running VMs.
func (s *vmSet) publishList() (uint64, error) {
	var listed []fleet.VM
	for _, v := range s.running() {
		listed = append(listed, v.listEntry())
	}
	return s.env.publishList(listed)
}

// updateFabric makes the fabric send packets to the VMs in state serving.
func (s *vmSet) updateFabric() {
	var addresses []netip.AddrPort
	for _, v := range s.running() {
		if v.state == fleet.Serving {
			addresses = append(addresses, v.daemon.DataAddress())
		}
	}
	s.env.fabric.SetVMs(addresses)
}

// remove removes a VM that stopped.
func (s *vmSet) remove(removed *vm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removedBytes += removed.daemon.ControlBytesSent()
	s.removedSeconds += time.Since(removed.startedAt).Seconds()
	s.all = slices.DeleteFunc(s.all, func(v *vm) bool { return v == removed })
}

// controlRate returns the mean rate of control bytes that a VM sent, in bytes per second.
func (s *vmSet) controlRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes, seconds := float64(s.removedBytes), s.removedSeconds
	for _, v := range s.all {
		bytes += float64(v.daemon.ControlBytesSent())
		seconds += time.Since(v.startedAt).Seconds()
	}
	if seconds == 0 {
		return 0
	}
	return bytes / seconds
}

// stopAll kills the running VMs without a graceful shutdown.
func (s *vmSet) stopAll() {
	for _, v := range s.running() {
		v.daemon.Kill()
		v.stop()
		<-v.done
	}
}
