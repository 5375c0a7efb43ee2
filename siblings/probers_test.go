package siblings_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/siblings"
)

func vmAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 7720)
}

// Each target has two probers of its domain, on which all VMs agree, and none of them has many targets.
func TestProbersAreAgreedOnAndSpread(t *testing.T) {
	is := is.New(t)
	const vms, targets = 20, 400
	var members []*siblings.Members
	var addresses []netip.AddrPort
	for vm := range vms {
		m := siblings.NewMembers(siblings.Contact{Address: vmAddress(vm), Domain: "a"}, rand.New(rand.NewPCG(1, 1)))
		for other := range vms {
			m.MarkAlive(0, siblings.Contact{Address: vmAddress(other), Domain: "a"})
			m.MarkAlive(0, siblings.Contact{Address: vmAddress(1000 + other), Domain: "b"})
		}
		members = append(members, m)
		addresses = append(addresses, vmAddress(vm))
	}
	load := map[netip.AddrPort]int{}
	for target := range targets {
		id := fmt.Sprintf("i-%08x", target)
		probers := siblings.Probers(id, addresses)
		is.Equal(len(probers), siblings.ProbersPerTarget)
		for vm, m := range members {
			is.Equal(m.IsProber(1, id), slices.Contains(probers, vmAddress(vm)))
			others := slices.DeleteFunc(slices.Clone(probers), func(p netip.AddrPort) bool { return p == vmAddress(vm) })
			is.Equal(m.ProbersOf(1, id, "a"), others)
		}
		for _, p := range probers {
			load[p]++
		}
	}
	for _, vm := range addresses {
		is.True(load[vm] <= 2*targets*siblings.ProbersPerTarget/vms)
	}
}

// A VM that was not heard for some seconds keeps its targets, as VMs do not agree on who was heard lately. One
// that expired hands them to others, which leaves the rest as they were.
func TestProbersOfAnExpiredVMAreReplaced(t *testing.T) {
	is := is.New(t)
	m := siblings.NewMembers(siblings.Contact{Address: vmAddress(0), Domain: "b"}, rand.New(rand.NewPCG(1, 1)))
	for vm := 1; vm < 6; vm++ {
		m.MarkAlive(clock.Millis(vm), siblings.Contact{Address: vmAddress(vm), Domain: "a"})
	}
	moved := 0
	for target := range 50 {
		id := fmt.Sprintf("i-%08x", target)
		before := m.ProbersOf(10, id, "a")
		is.Equal(m.ProbersOf(30*clock.Second, id, "a"), before)
		after := m.ProbersOf(clock.Minute+1, id, "a") // the first VM was heard a minute ago
		is.True(!slices.Contains(after, vmAddress(1)))
		if slices.Contains(before, vmAddress(1)) {
			moved++
			continue
		}
		is.Equal(before, after)
	}
	is.True(moved > 0 && moved < 50)
}

// A VM that knows of no other one probes all targets of its domain.
func TestALoneVMProbesAllTargets(t *testing.T) {
	is := is.New(t)
	m := siblings.NewMembers(siblings.Contact{Address: vmAddress(0), Domain: "a"}, rand.New(rand.NewPCG(1, 1)))
	is.True(m.IsProber(0, "i-1"))
	is.Equal(len(m.ProbersOf(0, "i-1", "a")), 0)
	is.Equal(len(m.ProbersOf(0, "i-1", "b")), 0)
}

// The VMs of a domain that know each other take different ranks, so that their shares of a limit add up.
func TestTargetRanksDiffer(t *testing.T) {
	is := is.New(t)
	contacts := make([]siblings.Contact, 5)
	for i := range contacts {
		contacts[i] = siblings.Contact{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720), Domain: "a"}
	}
	taken := map[int]bool{}
	for _, self := range contacts {
		m := siblings.NewMembers(self, rand.New(rand.NewPCG(1, 1)))
		for _, c := range contacts {
			m.MarkAlive(0, c)
		}
		m.MarkAlive(0, siblings.Contact{Address: netip.MustParseAddrPort("10.2.0.1:7720"), Domain: "b"})
		rank, vms := m.TargetRank(0, "i-1")
		is.Equal(vms, len(contacts)) // those of other domains do not count
		taken[rank] = true
	}
	is.Equal(len(taken), len(contacts))
}
