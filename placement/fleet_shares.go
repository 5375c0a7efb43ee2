package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/almondflow/almondflow/fleet"
)

const (
	// shareSamples is the number of sample hashes used to estimate the shares of flows.
	shareSamples = 512
	// evenShare is the fraction of each target's flows that is assumed to be spread evenly
	// over all VMs. It accounts for the flows that a VM took over from owners that are not
	// alive.
	evenShare = 0.05
)

// FleetShares estimates which share of all flows this entry VM owns. Target limits apply to
// the whole fleet, and each owner enforces its share of them without coordination.
type FleetShares struct {
	ownDomain fleet.ID
	domains   []domainVMs
	aliveVMs  int
	// domainIndex is the position of this VM among the serving VMs of its failure domain,
	// sorted by ID, and domainSize is their number. fleetIndex and fleetSize are the same
	// for all serving VMs of the list.
	domainIndex, domainSize int
	fleetIndex, fleetSize   int
	// sampleHomes holds, for each sample, the index in domains of the domain that owns it,
	// or -1 if no VM is alive.
	sampleHomes []int
	// costs caches the rendezvous costs of each domain for the samples.
	costs map[fleet.ID][]float64
}

type domainVMs struct {
	id       fleet.ID
	aliveVMs int
}

// NewFleetShares returns the shares of the VM self under the published list. alive reports
// whether a VM is considered alive; the shares of VMs that are not alive pass to the others.
func NewFleetShares(list *fleet.List, self fleet.ID, alive func(fleet.ID) bool) *FleetShares {
	f := &FleetShares{costs: make(map[fleet.ID][]float64)}
	for _, name := range list.Domains() {
		f.domains = append(f.domains, domainVMs{id: fleet.NewID(name)})
	}
	if vm, ok := list.Find(self); ok {
		f.ownDomain = fleet.NewID(vm.Domain())
	}
	var fleetIDs, domainIDs []fleet.ID
	for i := range list.VMs() {
		vm := &list.VMs()[i]
		if vm.State() != fleet.Serving {
			continue
		}
		fleetIDs = append(fleetIDs, vm.ID())
		if fleet.NewID(vm.Domain()) == f.ownDomain {
			domainIDs = append(domainIDs, vm.ID())
		}
		if vm.ID() == self || alive(vm.ID()) {
			f.countOwner(fleet.NewID(vm.Domain()))
		}
	}
	f.domainIndex, f.domainSize = sortedIndex(domainIDs, self)
	f.fleetIndex, f.fleetSize = sortedIndex(fleetIDs, self)
	f.assignSampleHomes()
	return f
}

// hasSameShares reports whether other gives the same shares and subsets. The number of live
// VMs in another domain only matters if it changes from or to zero.
func (f *FleetShares) hasSameShares(other *FleetShares) bool {
	if f == nil || other == nil {
		return f == other
	}
	same := func(a, b domainVMs) bool {
		return a.id == b.id && (a.aliveVMs == 0) == (b.aliveVMs == 0) && (a.id != f.ownDomain || a.aliveVMs == b.aliveVMs)
	}
	return f.ownDomain == other.ownDomain && f.domainIndex == other.domainIndex && f.domainSize == other.domainSize &&
		slices.EqualFunc(f.domains, other.domains, same)
}

func (f *FleetShares) countOwner(domain fleet.ID) {
	f.aliveVMs++
	for i := range f.domains {
		if f.domains[i].id == domain {
			f.domains[i].aliveVMs++
		}
	}
}

// isUnreachable reports whether a domain has listed VMs but none of them is considered alive.
func (f *FleetShares) isUnreachable(domain fleet.ID) bool {
	if f == nil {
		return false
	}
	for i := range f.domains {
		if f.domains[i].id == domain {
			return f.domains[i].aliveVMs == 0
		}
	}
	return false
}

// sortedIndex sorts ids and returns the index of self and their number, which is at least
// 1.
func sortedIndex(ids []fleet.ID, self fleet.ID) (index, size int) {
	slices.Sort(ids)
	index, _ = slices.BinarySearch(ids, self)
	size = max(len(ids), 1)
	return min(index, size-1), size
}

func (f *FleetShares) assignSampleHomes() {
	f.sampleHomes = make([]int, shareSamples)
	for s := range f.sampleHomes {
		best, lowest := -1, math.Inf(1)
		for i := range f.domains {
			if f.domains[i].aliveVMs == 0 {
				continue
			}
			if cost := f.cost(f.domains[i].id, s); cost < lowest {
				best, lowest = i, cost
			}
		}
		f.sampleHomes[s] = best
	}
}

// cost returns the rendezvous cost of a domain for a sample.
func (f *FleetShares) cost(domain fleet.ID, sample int) float64 {
	costs, ok := f.costs[domain]
	if !ok {
		costs = make([]float64, shareSamples)
		for s := range costs {
			costs[s] = exponentialCost(fleet.RendezvousScore(sampleHash(s), domain))
		}
		f.costs[domain] = costs
	}
	return costs[sample]
}

func sampleHash(sample int) uint64 {
	return fleet.RendezvousScore(uint64(sample), 0)
}

// shares returns, for each group, the share of its new flows that this VM owns.
func (f *FleetShares) shares(groups []domainGroup) []float64 {
	shares := make([]float64, len(groups))
	if f == nil || f.aliveVMs == 0 {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	totals := make([]float64, len(groups))
	owned := f.countOwnedSamples(groups, totals)
	even := evenShare / float64(f.aliveVMs)
	for i := range shares {
		shares[i] = even + (1-evenShare)*owned[i]*f.ownDomainShare()/max(totals[i], 1)
	}
	return shares
}

// countOwnedSamples adds the number of samples of each group to totals and returns how
// many of them the domain of this VM owns.
func (f *FleetShares) countOwnedSamples(groups []domainGroup, totals []float64) []float64 {
	owned := make([]float64, len(groups))
	for s, home := range f.sampleHomes {
		best, lowest := 0, math.Inf(1)
		for i := range groups {
			if cost := f.cost(groups[i].domain, s) / groups[i].capacity; cost < lowest {
				best, lowest = i, cost
			}
		}
		totals[best]++
		if home >= 0 && f.domains[home].id == f.ownDomain {
			owned[best]++
		}
	}
	return owned
}

// ownDomainShare returns this VM's share of the flows that its domain owns.
func (f *FleetShares) ownDomainShare() float64 {
	for i := range f.domains {
		if f.domains[i].id == f.ownDomain {
			return 1 / float64(max(f.domains[i].aliveVMs, 1))
		}
	}
	return 1 / float64(f.aliveVMs)
}

// subsetSize is the largest number of targets of one pool and failure domain on which a
// daemon places flows.
const subsetSize = 32

// subset returns the members of a domain on which this VM places flows, and the number of
// all members relative to those. The members form a ring sorted by ID, and the subset is a
// window on it that starts at the position of the VM. The windows of all VMs cover each
// member equally often, to within one.
func subset[M any](f *FleetShares, domain fleet.ID, members []M, id func(M) uint64) ([]M, float64) {
	if f == nil || len(members) <= subsetSize {
		return members, 1
	}
	slices.SortFunc(members, func(a, b M) int { return cmp.Compare(id(a), id(b)) })
	index, size := f.fleetIndex, f.fleetSize
	if domain == f.ownDomain {
		index, size = f.domainIndex, f.domainSize
	}
	start := index * len(members) / size
	selected := make([]M, subsetSize)
	for i := range selected {
		selected[i] = members[(start+i)%len(members)]
	}
	return selected, float64(len(members)) / subsetSize
}
