package main

import (
	"maps"
	"slices"
	"time"

	"github.com/almondflow/almondflow/platform/standin"
)

const (
	// maxLostChanges is the maximum number of changes that an older copy of the store lacks.
	maxLostChanges = 8
	// maxEraTime bounds the wait for VMs to notice the store's return, well below the time for which they keep a drain that
	// the copy lacks.
	maxEraTime = 5 * time.Second
)

// loseDrain lets the store come back from a copy that lacks the newest drain.
func (s *soak) loseDrain(v *entryVM) {
	s.store.SetFault(standin.Healthy)
	s.restoreLinks()
	s.drainDomain()
	s.checkUntilAll(maxIdleChecks, func(v *entryVM) bool { return slices.Equal(v.drains, s.drain.marks()) })
	s.returnFromCopy(v)
}

// returnFromCopy lets the store be away for a moment and come back from an older copy. After another while, the
// operator and the hosts write theirs again.
func (s *soak) returnFromCopy(_ *entryVM) {
	s.store.SetFault(standin.Unavailable)
	s.awaitProgress()
	s.checkVersions()
	s.mu.Lock()
	s.drain.isKnown = s.drain.isKnown && s.allShowDrain() // a VM that is starting may read a copy without it
	s.mu.Unlock()
	s.store.ReturnFromCopy(1 + s.random.IntN(maxLostChanges))
	s.store.SetFault(standin.Healthy)
	s.awaitEra()
	s.awaitProgress()
	s.checkVersions()
	s.writeAgain()
}

// awaitEra waits until all VMs have noticed the store's return.
func (s *soak) awaitEra() {
	era, deadline := s.store.Revision().Era(), time.Now().Add(maxEraTime)
	s.checkUntilAll(maxIdleChecks, func(v *entryVM) bool { return v.era == era || time.Now().After(deadline) })
}

// writeAgain writes what the operator and the hosts have written before.
func (s *soak) writeAgain() {
	s.requireNoError(s.store.PutTablesWithPriorities(s.version, "core"))
	for _, domain := range soakDomains {
		if domain == s.drain.mark.Domain {
			s.drainAgain()
		} else if s.store.HasDrain(domain) {
			s.store.RemoveDrain(domain)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		h := s.hosts[id]
		if s.published[id] {
			s.requireNoError(s.store.PutHost(h.Host, "core", h.domain, false))
		} else if s.store.HasHost(h.Host) {
			s.withdraw(h)
		}
	}
}

// drainAgain writes the drain again. VMs that knew it need not hear of that to obey it.
func (s *soak) drainAgain() {
	s.requireNoError(s.store.PutDrain(s.drain.mark.Domain))
	s.mu.Lock()
	s.drain.mark.Revision = s.store.Revision()
	s.mu.Unlock()
}
