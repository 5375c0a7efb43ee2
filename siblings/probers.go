package siblings

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// ProbersPerTarget is how many VMs of a target's failure domain probe it. One may just have started or
// failed.
const ProbersPerTarget = 2

// Probers returns the VMs that probe a target, out of the VMs of its failure domain. All VMs that know
// of the same ones choose the same, and if one leaves or joins, few targets change hands
// (rendezvous hashing).
func Probers(targetID string, vms []netip.AddrPort) []netip.AddrPort {
	type candidate struct {
		vm     netip.AddrPort
		weight uint64
	}
	hash := hashText(targetID)
	candidates := make([]candidate, 0, len(vms))
	for _, vm := range vms {
		candidates = append(candidates, candidate{vm, proberWeight(hash, hashAddress(vm))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.weight, a.weight), a.vm.Compare(b.vm)) })
	probers := make([]netip.AddrPort, 0, ProbersPerTarget)
	for _, c := range candidates[:min(ProbersPerTarget, len(candidates))] {
		probers = append(probers, c.vm)
	}
	return probers
}

// IsProber reports whether this VM probes a target of its failure domain.
func (m *Members) IsProber(now clock.Millis, targetID string) bool {
	rank, _ := m.rankUpTo(now, targetID, ProbersPerTarget)
	return rank < ProbersPerTarget
}

// TargetRank returns the place of this VM among the VMs of its failure domain in the order that is drawn for a
// target, and the number of these VMs, including this one.
func (m *Members) TargetRank(now clock.Millis, targetID string) (rank, vms int) {
	return m.rankUpTo(now, targetID, len(m.members)+1)
}

// rankUpTo returns what TargetRank does, but stops counting at the given rank.
func (m *Members) rankUpTo(now clock.Millis, targetID string, limit int) (rank, vms int) {
	hash := hashText(targetID)
	own := proberWeight(hash, m.self.readOrder)
	vms = 1
	for _, known := range m.members {
		if !m.isMemberOf(known, now, m.self.contact.Domain) {
			continue
		}
		vms++
		if proberWeight(hash, known.readOrder) > own {
			rank++
		}
		if rank == limit {
			break
		}
	}
	return rank, vms
}

// ProbersOf returns the other VMs that probe a target of a failure domain.
func (m *Members) ProbersOf(now clock.Millis, targetID, domain string) []netip.AddrPort {
	var all []netip.AddrPort
	if domain == m.self.contact.Domain {
		all = append(all, m.self.contact.Address)
	}
	for address, known := range m.members {
		if m.isMemberOf(known, now, domain) {
			all = append(all, address)
		}
	}
	return slices.DeleteFunc(Probers(targetID, all), func(vm netip.AddrPort) bool { return vm == m.self.contact.Address })
}

// isMemberOf reports whether a VM is of a failure domain and has not expired. It need not have been heard
// lately: in large domains each VM hears of a part of the others within aliveTimeout, and VMs that know
// different ones would choose different probers. A VM that fails for good leaves its targets to their other
// prober until it expires.
func (m *Members) isMemberOf(vm *member, now clock.Millis, domain string) bool {
	return vm.contact.Domain == domain && now-vm.aliveAt < expiryTimeout
}

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never returns an error
	return h.Sum64()
}

// proberWeight combines the hashes of a target and a VM so that all bits of both matter (the finalizer of
// splitmix64).
func proberWeight(target, vm uint64) uint64 {
	hash := target ^ vm
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
