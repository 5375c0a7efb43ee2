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
	for _, l := range p.view.Load().loads {
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
	for id, l := range p.view.Load().loads {
		if active := l.active.Load(); active > 0 {
			loads = append(loads, NewLoad(id, active))
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.id, b.id) })
	return loads
}

// Active returns the number of open flows that this VM counts on a target.
func (p *Placer) Active(id flow.TargetID) int64 {
	return p.load(id).active.Load()
}
