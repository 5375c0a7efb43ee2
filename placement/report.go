package placement

import (
	"math"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

const (
	// correctionInterval is the minimum time between two corrections. It is longer than
	// reports take to spread, so that the effect of a correction is visible before the
	// next one.
	correctionInterval = 10 * clock.Second
	// correctionGain is the fraction of the difference from the median that one correction
	// compensates.
	correctionGain = 0.2
	// maxCorrection limits how far corrections move a weight from its base, and thereby
	// the harm that wrong reports can do.
	maxCorrection = 0.1
	// maxReportAge is the age above which reports are ignored.
	maxReportAge = 30 * clock.Second
)

// SetReports corrects the weights of targets by the number of flows that the whole fleet
// has open on them, or that the targets themselves report.
//
// Reports only move weights, slowly and within bounds: they compensate for load from
// elsewhere and for uneven owners. If owners instead added each other's counts to their
// own, all of them would place on the target that was last reported empty.
//
// age is the time since the reports were made. Reports older than 30 s only let earlier
// corrections decay. Calls less than 10 s after the last correction are ignored.
func (p *Placer) SetReports(now clock.Millis, reports []LoadReport, age clock.Millis) {
	p.control.Lock()
	defer p.control.Unlock()
	if p.snapshot == nil || now < p.nextCorrection {
		return
	}
	p.nextCorrection = now + correctionInterval
	active := make(map[flow.TargetID]int64, len(reports))
	if age <= maxReportAge {
		for _, r := range reports {
			active[r.id] = r.active
		}
	}
	p.correctPools(now, active)
}

// correctPools corrects the weights in the pools that the reports concern and lets the
// corrections of other pools decay. The caller holds p.control.
func (p *Placer) correctPools(now clock.Millis, active map[flow.TargetID]int64) {
	pools := *p.pools.Load()
	names := p.correctedPools
	p.correctedPools = make(map[string]bool)
	for id := range active {
		if l := p.loads.get(id); l != nil {
			names[l.pool] = true
		}
	}
	for name := range names {
		s, ok := pools[name]
		if !ok || s.plan.Load() == nil {
			continue
		}
		if correctPool(s.plan.Load(), active) {
			p.correctedPools[name] = true
		}
		s.plan.Store(p.newPlan(now, s))
	}
}

// correctPool updates the corrections of a pool's targets and reports whether any target
// is still corrected.
func correctPool(p *plan, active map[flow.TargetID]int64) bool {
	median := medianReport(p, active)
	isAnyCorrected := false
	for i := range p.groups {
		for _, c := range p.groups[i].warm {
			c.load.correction = updatedCorrection(c, median, active)
			isAnyCorrected = isAnyCorrected || c.load.correction != 1
		}
	}
	return isAnyCorrected
}

// medianReport returns the median of the reported flows per unit of weight. Unlike the
// mean it is not affected by a single target that reports wrong numbers.
func medianReport(p *plan, active map[flow.TargetID]int64) float64 {
	var loads []float64
	for i := range p.groups {
		for _, c := range p.groups[i].warm {
			if reported, ok := plausibleLoad(c, active); ok {
				loads = append(loads, reported)
			}
		}
	}
	if len(loads) == 0 {
		return 0
	}
	slices.Sort(loads)
	middle := len(loads) / 2
	return (loads[middle] + loads[(len(loads)-1)/2]) / 2
}

// plausibleLoad returns the reported flows per unit of weight. A report of fewer flows
// than this VM alone has open on the target is ignored.
func plausibleLoad(c *candidate, active map[flow.TargetID]int64) (float64, bool) {
	reported, ok := active[c.load.id]
	if !ok || reported < c.Active() {
		return 0, false
	}
	return float64(reported) / c.baseWeight, true
}

func updatedCorrection(c *candidate, median float64, active map[flow.TargetID]int64) float64 {
	reported, ok := plausibleLoad(c, active)
	if !ok || median == 0 {
		return decay(c.load.correction)
	}
	excess := max(-1, min(1, reported/median-1))
	next := c.load.correction * (1 - correctionGain*excess)
	return max(1-maxCorrection, min(1+maxCorrection, next))
}

// decay returns a correction that is closer to 1, which means none.
func decay(correction float64) float64 {
	const negligible = 0.001
	if math.Abs(correction-1) < negligible {
		return 1
	}
	return correction + correctionGain*(1-correction)
}
