package main

import (
	"maps"
	"slices"

	"github.com/almondflow/almondflow/platform/standin"
)

// maxLostChanges is the maximum number of changes that an older copy of the store lacks.
const maxLostChanges = 8

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
	s.awaitProgress()
	s.checkVersions()
	s.writeAgain()
}

// writeAgain writes what the operator and the hosts have written before.
func (s *soak) writeAgain() {
	s.requireNoError(s.store.PutTables(s.version, "core"))
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
