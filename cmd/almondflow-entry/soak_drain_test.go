package main

import (
	"slices"

	"github.com/almondflow/almondflow/drain"
)

// soakDrain is the drain of a failure domain that the operator has published.
type soakDrain struct {
	mark    drain.Mark // without a domain if there is none
	isKnown bool       // to all VMs
}

// marks returns the drains that VMs should show.
func (d *soakDrain) marks() []drain.Mark {
	if d.mark.Domain == "" {
		return nil
	}
	return []drain.Mark{d.mark}
}

// drainDomain publishes the drain of a random domain, unless there is one.
func (s *soak) drainDomain() {
	if s.drain.mark.Domain != "" {
		return
	}
	domain := soakDomains[s.random.IntN(len(soakDomains))]
	s.requireNoError(s.store.PutDrain(domain))
	s.mu.Lock()
	s.drain = soakDrain{mark: drain.Mark{Domain: domain, Revision: s.store.Revision()}}
	s.mu.Unlock()
}

// takeDrainBack ends the drain. From then on, VMs may use the domain's hosts.
func (s *soak) takeDrainBack() {
	domain := s.drain.mark.Domain
	if domain == "" {
		return
	}
	s.mu.Lock()
	s.drain = soakDrain{}
	s.mu.Unlock()
	s.store.RemoveDrain(domain)
}

// updateDrain notices when all VMs show the drain. VMs that start afterwards have to know it before they serve.
func (s *soak) updateDrain() {
	if s.drain.mark.Domain == "" || !s.allShowDrain() {
		return
	}
	s.mu.Lock()
	s.drain.isKnown = true
	s.mu.Unlock()
}

// allShowDrain reports whether all VMs showed the drain when they were last checked.
func (s *soak) allShowDrain() bool {
	isUnaware := func(v *entryVM) bool { return !slices.Equal(v.drains, s.drain.marks()) }
	return !slices.ContainsFunc(s.vms, isUnaware)
}

// knownDrain returns the drain if all VMs know of it.
func (s *soak) knownDrain() soakDrain {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drain.isKnown {
		return soakDrain{}
	}
	return s.drain
}

// checkOpening checks that a flow was not opened at a host of a domain whose drain all VMs knew of before the
// flow's first packet was sent, and which is still drained.
func (s *soak) checkOpening(host string, before soakDrain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before.isKnown && s.drain == before && s.hosts[host].domain == before.mark.Domain {
		s.t.Errorf("seed %d: host %s accepted a flow while its domain %s was drained", *soakSeed, host, before.mark.Domain)
	}
}
