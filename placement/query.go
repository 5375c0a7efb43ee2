package placement

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/flow"
)

// CollectEvidence returns the evidence about each target since the last call, sorted by
// target ID. Targets without evidence are left out.
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

// Loads returns the number of open flows that this VM counts on each target, sorted by
// target ID. Targets without open flows are left out.
func (p *Placer) Loads() []LoadReport {
	var loads []LoadReport
	for l := range p.loads.all() {
		if active := l.active.Load(); active > 0 {
			loads = append(loads, NewLoadReport(l.id, active))
		}
	}
	slices.SortFunc(loads, func(a, b LoadReport) int { return cmp.Compare(a.id, b.id) })
	return loads
}

// Active returns the number of open flows that this VM counts on a target.
func (p *Placer) Active(id flow.TargetID) int64 {
	if l := p.loads.get(id); l != nil {
		return l.active.Load()
	}
	return 0
}

// Hosts returns the IDs of the targets of which this VM keeps state, sorted.
func (p *Placer) Hosts() []flow.TargetID {
	var ids []flow.TargetID
	for l := range p.loads.all() {
		ids = append(ids, l.id)
	}
	slices.Sort(ids)
	return ids
}
