package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/almondflow/almondflow/fleet"
)

const (
	// shareSamples is the number of hashes from which shares of flows are estimated.
	shareSamples = 512
	// evenPart is the part of every share that is spread evenly over the whole fleet,
	// for the flows that a VM owns because others are gone.
	evenPart = 0.05
)

// Fleet says which part of all flows this entry VM owns. Limits of targets hold for the
// whole fleet, and each owner keeps to its share without asking the others.
type Fleet struct {
	ownDomain fleet.ID
	owners    []domainOwners
	alive     int
	// place and count are the position of this VM among the serving VMs of its domain,
	// allPlace and allCount the same among those of the whole list.
	place, count       int
	allPlace, allCount int
	// home is the index of the domain that owns each sample.
	home  []int
	costs map[fleet.ID][]float64
}

type domainOwners struct {
	id    fleet.ID
	alive int
}

// NewFleet derives the shares from the published list. alive says which VMs are believed
// to be up; the shares of the others pass to them.
func NewFleet(list *fleet.List, self fleet.ID, alive func(fleet.ID) bool) *Fleet {
	f := &Fleet{costs: make(map[fleet.ID][]float64)}
	for _, name := range list.Domains() {
		f.owners = append(f.owners, domainOwners{id: fleet.NewID(name)})
	}
	if vm, ok := list.Find(self); ok {
		f.ownDomain = fleet.NewID(vm.Domain())
	}
	var all, domain []fleet.ID
	for i := range list.VMs() {
		vm := &list.VMs()[i]
		if vm.State() != fleet.Serving {
			continue
		}
		all = append(all, vm.ID())
		if fleet.NewID(vm.Domain()) == f.ownDomain {
			domain = append(domain, vm.ID())
		}
		if vm.ID() == self || alive(vm.ID()) {
			f.countOwner(fleet.NewID(vm.Domain()))
		}
	}
	f.place, f.count = position(domain, self)
	f.allPlace, f.allCount = position(all, self)
	f.sampleHomes()
	return f
}

// isLike reports whether another Fleet gives the same shares and subsets, but for
// changes in other domains that leave each of them with owners.
func (f *Fleet) isLike(other *Fleet) bool {
	if f == nil || other == nil {
		return f == other
	}
	same := func(a, b domainOwners) bool {
		return a.id == b.id && (a.alive == 0) == (b.alive == 0) && (a.id != f.ownDomain || a.alive == b.alive)
	}
	return f.ownDomain == other.ownDomain && f.place == other.place && f.count == other.count &&
		slices.EqualFunc(f.owners, other.owners, same)
}

func (f *Fleet) countOwner(domain fleet.ID) {
	f.alive++
	for i := range f.owners {
		if f.owners[i].id == domain {
			f.owners[i].alive++
		}
	}
}

// isDark reports whether a domain has listed VMs of which none is believed to be up.
func (f *Fleet) isDark(domain fleet.ID) bool {
	if f == nil {
		return false
	}
	for i := range f.owners {
		if f.owners[i].id == domain {
			return f.owners[i].alive == 0
		}
	}
	return false
}

// position returns where self stands among the sorted IDs, and how many there are.
func position(ids []fleet.ID, self fleet.ID) (place, count int) {
	slices.Sort(ids)
	place, _ = slices.BinarySearch(ids, self)
	count = max(len(ids), 1)
	return min(place, count-1), count
}

func (f *Fleet) sampleHomes() {
	f.home = make([]int, shareSamples)
	for s := range f.home {
		best, lowest := -1, math.Inf(1)
		for i := range f.owners {
			if f.owners[i].alive == 0 {
				continue
			}
			if cost := f.cost(f.owners[i].id, s); cost < lowest {
				best, lowest = i, cost
			}
		}
		f.home[s] = best
	}
}

// cost returns the rendezvous cost of a domain for a sample.
func (f *Fleet) cost(domain fleet.ID, sample int) float64 {
	costs, ok := f.costs[domain]
	if !ok {
		costs = make([]float64, shareSamples)
		for s := range costs {
			costs[s] = unitCost(fleet.Score(sampleHash(s), domain))
		}
		f.costs[domain] = costs
	}
	return costs[sample]
}

func sampleHash(sample int) uint64 {
	return fleet.Score(uint64(sample), 0)
}

// shares returns, for each group, the part of its new flows that this VM owns.
func (f *Fleet) shares(groups []group) []float64 {
	shares := make([]float64, len(groups))
	if f == nil || f.alive == 0 {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	totals := make([]float64, len(groups))
	owned := f.sampleOwned(groups, totals)
	even := evenPart / float64(f.alive)
	for i := range shares {
		shares[i] = even + (1-evenPart)*owned[i]*f.ownPart()/max(totals[i], 1)
	}
	return shares
}

// sampleOwned counts the samples of each group in totals and returns how many of them
// this VM's domain owns.
func (f *Fleet) sampleOwned(groups []group, totals []float64) []float64 {
	owned := make([]float64, len(groups))
	for s, home := range f.home {
		best, lowest := 0, math.Inf(1)
		for i := range groups {
			if cost := f.cost(groups[i].domain, s) / groups[i].capacity; cost < lowest {
				best, lowest = i, cost
			}
		}
		totals[best]++
		if home >= 0 && f.owners[home].id == f.ownDomain {
			owned[best]++
		}
	}
	return owned
}

// ownPart is this VM's part of the flows that its domain owns.
func (f *Fleet) ownPart() float64 {
	for i := range f.owners {
		if f.owners[i].id == f.ownDomain {
			return 1 / float64(max(f.owners[i].alive, 1))
		}
	}
	return 1 / float64(f.alive)
}

// subsetSize is the largest number of targets of a pool and failure domain that one
// daemon places on.
const subsetSize = 32

// subset returns the part of a domain's members that this VM places on, and how often
// the whole is larger than that part. Members are taken as a window on a ring sorted by
// identity that starts at the VM's own position, so that the windows of all VMs cover
// each member equally often, give or take one.
func subset[M any](f *Fleet, domain fleet.ID, members []M, id func(M) uint64) ([]M, float64) {
	if f == nil || len(members) <= subsetSize {
		return members, 1
	}
	slices.SortFunc(members, func(a, b M) int { return cmp.Compare(id(a), id(b)) })
	place, count := f.allPlace, f.allCount
	if domain == f.ownDomain {
		place, count = f.place, f.count
	}
	start := place * len(members) / count
	chosen := make([]M, subsetSize)
	for i := range chosen {
		chosen[i] = members[(start+i)%len(members)]
	}
	return chosen, float64(len(members)) / subsetSize
}
