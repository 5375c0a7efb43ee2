package main

import (
	"maps"
	"runtime"
	"slices"
	"syscall"

	"github.com/almondflow/almondflow/platform/standin"
)

// fault is a kind of fault. It is injected into the given VM, or elsewhere.
type fault struct {
	name   string
	inject func(s *soak, v *entryVM)
}

var soakFaults = []fault{
	{"kill", func(s *soak, v *entryVM) { s.restart(v, syscall.SIGKILL) }},
	{"stop", func(s *soak, v *entryVM) { s.restart(v, syscall.SIGTERM) }},
	{"kill_two", (*soak).killTwo},
	{"freeze", (*soak).freeze},
	{"freeze_again", func(s *soak, v *entryVM) { s.freeze(v); s.freeze(v) }},
	{"refuse", func(s *soak, _ *entryVM) { s.store.SetFault(standin.Unavailable) }},
	{"forget", func(s *soak, _ *entryVM) { s.store.SetFault(standin.HistoryLost) }},
	{"unreadable", func(s *soak, _ *entryVM) { s.store.SetFault(standin.InvalidJSON) }},
	{"store_slow", func(_ *soak, v *entryVM) { v.link.SetFault(standin.LinkSlow) }},
	{"store_silent", func(_ *soak, v *entryVM) { v.link.SetFault(standin.LinkDropping) }},
	{"store_one_way", func(_ *soak, v *entryVM) { v.link.SetFault(standin.LinkOneWay) }},
	{"store_breaking", func(_ *soak, v *entryVM) { v.link.SetFault(standin.LinkResetting) }},
	{"host_silent", func(s *soak, _ *entryVM) { s.failHostLink(standin.LinkDropping) }},
	{"host_ended", (*soak).endHost},
	{"host_lossy", func(s *soak, _ *entryVM) { s.failHostLink(standin.LinkLossy) }},
	{"host_slow", func(s *soak, _ *entryVM) { s.failHostLink(standin.LinkSlow) }},
	{"stale_tables", (*soak).publishStaleTables},
	{"release", func(s *soak, _ *entryVM) { s.store.SetFault(standin.Healthy); s.replaceHost(s.randomHost()) }},
	{"drain", func(s *soak, _ *entryVM) { s.drainDomain() }},
	{"take_back", func(s *soak, _ *entryVM) { s.takeDrainBack() }},
	{"change", func(s *soak, _ *entryVM) { s.store.SetFault(standin.Healthy); s.publishTables() }},
	{"store_copy", (*soak).returnFromCopy},
	{"lost_drain", (*soak).loseDrain},
	{"clear", func(s *soak, _ *entryVM) { s.restoreLinks() }},
}

// injectFault injects a random fault. Faults of the store and of links last until another fault
// replaces them or endFaults ends them, so that they coincide with later faults.
func (s *soak) injectFault() {
	v := s.vms[s.random.IntN(len(s.vms))]
	f := s.kinds[s.random.IntN(len(s.kinds))]
	s.faults[f.name]++
	f.inject(s, v)
}

// restart restarts the process of a VM after a signal.
func (s *soak) restart(v *entryVM, signal syscall.Signal) {
	s.terminate(v, signal)
	s.startVM(v)
}

// killTwo kills the processes of two VMs at the same time and restarts them.
func (s *soak) killTwo(v *entryVM) {
	other := s.vms[s.random.IntN(len(s.vms))]
	s.terminate(v, syscall.SIGKILL)
	if other != v {
		s.terminate(other, syscall.SIGKILL)
		s.startVM(other)
	}
	s.startVM(v)
}

// freeze pauses the process of a VM while the others serve.
func (s *soak) freeze(v *entryVM) {
	s.requireNoError(v.command.Process.Signal(syscall.SIGSTOP))
	s.awaitProgress()
	s.requireNoError(v.command.Process.Signal(syscall.SIGCONT))
}

// publishStaleTables publishes older tables with a service that has no hosts, and waits until they
// were read. It has to wait because no requests are served with them, so that endFaults might
// replace them earlier.
func (s *soak) publishStaleTables(_ *entryVM) {
	s.store.SetFault(standin.Healthy)
	s.restoreLinks()
	s.requireNoError(s.store.PutTablesWithPriorities(s.version-50, "nobody"))
	s.awaitCalls(staleTablesCalls, maxConvergenceChecks)
}

// awaitCalls waits until VMs have called the store a number of times, for so many checks of all VMs at most.
func (s *soak) awaitCalls(number, maxChecks int) {
	calls := s.store.Calls() + number
	for range maxChecks {
		s.checkVersions()
		if s.store.Calls() >= calls || s.t.Failed() {
			return
		}
	}
}

// publishTables publishes the next version of the tables.
func (s *soak) publishTables() {
	s.version++
	s.requireNoError(s.store.PutTablesWithPriorities(s.version, "core"))
}

// failHostLink lets the link of a host fail for a while. Afterwards it replaces the host, because
// VMs may still consider it dead.
func (s *soak) failHostLink(linkFault standin.LinkFault) {
	h := s.randomHost()
	s.mu.Lock()
	h.hasFailedLink = true
	s.mu.Unlock()
	h.link.SetFault(linkFault)
	s.awaitProgress()
	h.link.SetFault(standin.LinkHealthy)
	s.replaceHost(h)
}

// endHost ends a host: nothing comes from it, and it refuses connections. VMs reset its flows.
func (s *soak) endHost(_ *entryVM) {
	h := s.randomHost()
	s.mu.Lock()
	h.hasFailedLink = true
	s.mu.Unlock()
	h.link.SetFault(standin.LinkDropping)
	s.requireNoError(h.CloseHealth())
	s.awaitProgress()
	s.replaceHost(h)
}

// restoreLinks ends the faults of the links between VMs and the store.
func (s *soak) restoreLinks() {
	for _, v := range s.vms {
		v.link.SetFault(standin.LinkHealthy)
	}
}

// randomHost returns a random host that accepts new flows.
func (s *soak) randomHost() *soakHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(maps.Keys(s.published))
	return s.hosts[ids[s.random.IntN(len(ids))]]
}

// awaitProgress waits until requests were served, or until maxIdleChecks packets were sent without
// that. The latter prevents a deadlock: the frozen VM may be the only one with usable tables, as
// in seeds 104 and 105 with 3,000 requests.
func (s *soak) awaitProgress() {
	served, sent := s.served.Load()+5, s.sent.Load()+maxIdleChecks
	for s.served.Load() < served && s.sent.Load() < sent && !s.t.Failed() {
		runtime.Gosched()
	}
}

// endFaults ends the faults of the store and of links. With older tables and a store that refuses
// calls, no request might be served any more.
func (s *soak) endFaults() {
	s.faults["end_faults"]++
	s.store.SetFault(standin.Healthy)
	s.restoreLinks()
	s.setWorkTime(0)
	s.publishTables()
}

// replaceHost starts a new host in place of another. The store no longer lists the old host, which
// continues to serve its flows.
func (s *soak) replaceHost(h *soakHost) {
	s.addHost(h.domain)
	s.mu.Lock()
	delete(s.published, h.ID())
	s.mu.Unlock()
	s.withdraw(h)
}

// withdraw tells that a host leaves, and removes its entry.
func (s *soak) withdraw(h *soakHost) {
	s.requireNoError(s.store.PutHost(h.Host, "core", h.domain, true))
	s.store.RemoveHost(h.Host)
}
