package load

// priorRequests is how many requests at a target must have been heard, under way or finished within a second,
// before their number says as much of this target as the mean of its pool does. Fewer of them differ from
// the mean by chance.
const priorRequests = 2.0

// Sample tells how many of the other VMs of the own failure domain were heard.
type Sample struct {
	Others int     // other VMs that are alive
	Weight float64 // of the reports heard
}

// Estimate turns what is known of the work at a target into an estimate of the work of all VMs. That of the
// zero value is this VM's own work.
type Estimate struct {
	ownExtra    float64 // VMs that are taken to have as much work there as this one
	heardFactor float64 // of what was heard of the target
	even        Work    // work that is taken to be spread evenly over the targets of the pool
}

// ByTarget returns the estimate for the targets of a pool of which VMs report each one. Heard is the sum of
// what they reported of all of them, each by its weight. VMs that were not heard are taken to be like those
// that were, and like this one: the fewer reports, the more like this one.
func (s Sample) ByTarget(heard Work, targets int) Estimate {
	if s.Weight <= 0 || targets == 0 {
		return Estimate{ownExtra: float64(s.Others)}
	}
	perTarget := heard.Scale(1 / float64(targets))
	evidence := perTarget.Busy + perTarget.Finished
	trust := evidence / (evidence + priorRequests)
	return Estimate{
		ownExtra:    s.perReport(),
		heardFactor: s.heardShare() + s.perReport()*trust,
		even:        perTarget.Scale(s.perReport() * (1 - trust)),
	}
}

// BySum returns the estimate for the targets of a pool of which VMs report the sum only.
func (s Sample) BySum(heard Work, targets int) Estimate {
	if s.Weight <= 0 || targets == 0 {
		return Estimate{ownExtra: float64(s.Others)}
	}
	return Estimate{ownExtra: s.perReport(), even: s.PerTarget(heard, targets)}
}

// PerTarget returns the part of each target in a sum that VMs reported, if it is spread evenly.
func (s Sample) PerTarget(heard Work, targets int) Work {
	if s.Weight <= 0 || targets == 0 {
		return Work{}
	}
	return heard.Scale((s.heardShare() + s.perReport()) / float64(targets))
}

// heardShare returns the factor by which heard work counts. It is below one if VMs were heard that are gone.
func (s Sample) heardShare() float64 { return min(1, float64(s.Others)/s.Weight) }

// Present returns the requests that all VMs of the own failure domain have under way now. Of this VM it takes the
// averaged work and the requests under way now; told is the estimate by averages of all VMs, which is late. Own
// requests stand for those of the others, the more of them the better.
func (s Sample) Present(average Work, busy, told float64) float64 {
	evidence := max(busy, average.Busy+average.Finished)
	trust := evidence / (evidence + priorRequests)
	return trust*float64(1+s.Others)*busy + (1-trust)*told
}

// perReport returns by how much each report counts once more, for the VMs that were not heard. This VM's own
// work counts as one more report.
func (s Sample) perReport() float64 { return max(0, float64(s.Others)-s.Weight) / (s.Weight + 1) }

// AddEven adds work that is spread evenly over the targets.
func (e *Estimate) AddEven(w Work) { e.even = e.even.Add(w) }

// At returns the estimated work at a target with the given own work, of which other VMs reported the given
// sum.
func (e *Estimate) At(own, heard Work) Work {
	return own.Scale(1 + e.ownExtra).Add(heard.Scale(e.heardFactor)).Add(e.even)
}

// Sum returns the estimated work at all targets of the pool.
func (e *Estimate) Sum(own, heard Work, targets int) Work {
	return own.Scale(1 + e.ownExtra).Add(heard.Scale(e.heardFactor)).Add(e.even.Scale(float64(targets)))
}
