package placement

import (
	"math"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

const (
	// correctionSpan is the least time between two corrections. It is longer than
	// reports take to spread, so that a correction is seen before the next is made.
	correctionSpan = 10 * clock.Second
	// correctionGain is the part of the difference from the mean that one correction
	// makes up for.
	correctionGain = 0.2
	// correctionMost bounds how far corrections move a weight, so that wrong reports
	// cannot do more harm than that.
	correctionMost = 0.1
	// reportLife is the age up to which reports count.
	reportLife = 30 * clock.Second
)

// SetReports corrects the weights of targets by the number of flows that the whole fleet
// has open on them, or that the targets claim to have. Owners that add each other's
// counts to their own all rush to the target that was last reported empty, so reports
// only move weights, slowly and within bounds: they make up for load from elsewhere and
// for uneven owners. Calls that follow the last correction too soon are ignored, and
// reports that are too old only let earlier corrections fade.
func (p *Placer) SetReports(now clock.Millis, reports []Load, age clock.Millis) {
	p.control.Lock()
	defer p.control.Unlock()
	if p.snapshot == nil || now < p.nextCorrection {
		return
	}
	p.nextCorrection = now + correctionSpan
	active := make(map[flow.TargetID]int64, len(reports))
	if age <= reportLife {
		for _, r := range reports {
			active[r.id] = r.active
		}
	}
	p.correct(now, active)
}

// correct corrects the pools that reports are about, and lets the corrections of the
// others fade. p.control is held.
func (p *Placer) correct(now clock.Millis, active map[flow.TargetID]int64) {
	pools := *p.pools.Load()
	names := p.corrected
	p.corrected = make(map[string]bool)
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
			p.corrected[name] = true
		}
		s.plan.Store(p.newPlan(now, s))
	}
}

// correctPool moves the corrections of a pool's targets and reports whether any is corrected.
func correctPool(p *plan, active map[flow.TargetID]int64) bool {
	middle := medianReport(p, active)
	isCorrected := false
	for i := range p.groups {
		for _, c := range p.groups[i].warm {
			c.load.correction = corrected(c, middle, active)
			isCorrected = isCorrected || c.load.correction != 1
		}
	}
	return isCorrected
}

// medianReport returns the median of the reported flows per weight. Unlike the mean it
// does not follow a single target that reports nonsense.
func medianReport(p *plan, active map[flow.TargetID]int64) float64 {
	var loads []float64
	for i := range p.groups {
		for _, c := range p.groups[i].warm {
			if reported, ok := plausible(c, active); ok {
				loads = append(loads, reported)
			}
		}
	}
	if len(loads) == 0 {
		return 0
	}
	slices.Sort(loads)
	half := len(loads) / 2
	return (loads[half] + loads[(len(loads)-1)/2]) / 2
}

// plausible returns the reported flows per weight. A report of fewer flows than this VM
// alone has open on the target is no report.
func plausible(c *candidate, active map[flow.TargetID]int64) (float64, bool) {
	reported, ok := active[c.load.id]
	if !ok || reported < c.Active() {
		return 0, false
	}
	return float64(reported) / c.base, true
}

func corrected(c *candidate, middle float64, active map[flow.TargetID]int64) float64 {
	reported, ok := plausible(c, active)
	if !ok || middle == 0 {
		return fade(c.load.correction)
	}
	excess := max(-1, min(1, reported/middle-1))
	next := c.load.correction * (1 - correctionGain*excess)
	return max(1-correctionMost, min(1+correctionMost, next))
}

// fade moves a correction back to none.
func fade(correction float64) float64 {
	const negligible = 0.001
	if math.Abs(correction-1) < negligible {
		return 1
	}
	return correction + correctionGain*(1-correction)
}
