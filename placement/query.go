package placement

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/flow"
)

// CollectEvidence returns what was observed of each target since the last call, sorted
// by target. Targets without evidence are left out.
func (p *Placer) CollectEvidence() []Tally {
	var tallies []Tally
	for l := range p.loads.all() {
		if t, ok := l.collect(); ok {
			tallies = append(tallies, t)
		}
	}
	slices.SortFunc(tallies, func(a, b Tally) int { return cmp.Compare(a.id, b.id) })
	return tallies
}

// Loads returns the targets with open flows that this VM counts, sorted by target.
func (p *Placer) Loads() []Load {
	var loads []Load
	for l := range p.loads.all() {
		if active := l.active.Load(); active > 0 {
			loads = append(loads, NewLoad(l.id, active))
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.id, b.id) })
	return loads
}

// Active returns the number of open flows that this VM counts on a target.
func (p *Placer) Active(id flow.TargetID) int64 {
	if l := p.loads.get(id); l != nil {
		return l.active.Load()
	}
	return 0
}

// Hosts returns the targets that this VM keeps state of, sorted by target.
func (p *Placer) Hosts() []flow.TargetID {
	var ids []flow.TargetID
	for l := range p.loads.all() {
		ids = append(ids, l.id)
	}
	slices.Sort(ids)
	return ids
}
