package main

import (
	"net"
	"testing"

	"github.com/almondflow/almondflow/platform/standin"
)

const (
	// maxOddEntries is the maximum number of entries that another writer leaves before the host writes its own again.
	maxOddEntries = 3
	// oddEntryCalls is the number of store calls for which such an entry stands, so that VMs read it.
	oddEntryCalls = 3
)

// TestOddEntriesSoak has another writer leave odd entries in place of the hosts' own at random moments, among all other
// faults. Guards against what review/7, 9, 11, 12 and 13 showed: flows that are moved, reset or placed because such an
// entry was believed.
func TestOddEntriesSoak(t *testing.T) {
	s := newSoak(t)
	address, closeTrap := s.openTrap()
	defer closeTrap()
	leave := fault{"odd_entry", func(s *soak, _ *entryVM) { s.leaveOddEntries(address) }}
	s.kinds = nil
	for _, f := range soakFaults {
		s.kinds = append(s.kinds, f, leave) // every other fault
	}
	s.run()
	if s.faults[leave.name] == 0 {
		t.Error("no odd entry was left")
	}
}

// leaveOddEntries has another writer leave odd entries in place of a host's, until the host writes its own again.
func (s *soak) leaveOddEntries(address string) {
	h := s.randomHost()
	for range 1 + s.random.IntN(maxOddEntries) {
		s.store.PutHostEntry(h.ID(), standin.OddEntry(s.random, h.Host, "core", h.domain, address))
		s.awaitCalls(oddEntryCalls, maxIdleChecks)
	}
	s.requireNoError(s.store.PutHost(h.Host, "core", h.domain, false))
}

// openTrap returns the address in the odd entries, to which no packet may come, and a function that closes it.
func (s *soak) openTrap() (string, func()) {
	trap, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	s.requireNoError(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, from, err := trap.ReadFromUDPAddrPort(make([]byte, 1)); err == nil {
			s.t.Errorf("seed %d: %s sent a packet to the address in another writer's entry", *soakSeed, from)
		}
	}()
	return trap.LocalAddr().String(), func() {
		_ = trap.Close()
		<-done
	}
}
