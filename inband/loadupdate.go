package inband

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// poolsPerCount is how many pools are counted anew at each update besides those whose targets changed, as the
// passing of time ends the use of targets, too.
const poolsPerCount = 4

// updateLoad closes the window of the meters and estimates anew what all VMs have under way. Its cost grows
// with the targets and pools that have work, not with all of them.
func (e *Engine) updateLoad(now clock.Millis) {
	s := e.load
	if !s.isShared {
		return
	}
	s.closeWindow(now, e.resumedAt)
	s.news.Prune(now)
	s.countSome(now)
	s.addOwn(now)
	e.addHeard(now)
	clear(s.newsAges)
	for _, p := range s.news.All(now) {
		s.addNews(&p)
	}
	sample := load.Sample{Others: e.localVMs - 1, Weight: s.heard.Weight(now)}
	s.quiet, s.age = sample.ByTarget(load.Work{}, 1), s.heard.Age(now)
	for _, d := range s.working {
		d.update(sample)
	}
}

// addOwn adds up the work of this VM.
func (s *loadState) addOwn(now clock.Millis) {
	for _, d := range s.working {
		d.hasWork = false
	}
	s.working = s.working[:0]
	for _, b := range s.active {
		if b.countsInPool(now) {
			s.markWorking(b.domainPool)
			b.domainPool.own = b.domainPool.own.Add(b.meter.Average(b.flows))
		}
	}
}

// closeWindow closes the window of the meters. If the process stood still meanwhile, they start anew, as what
// they measured is as old as the pause is long. Targets without work of this VM are listed no more.
func (s *loadState) closeWindow(now, resumedAt clock.Millis) {
	s.hasMeasured = resumedAt == s.resumedAt
	for _, b := range s.active {
		if s.hasMeasured {
			b.meter.CloseWindow(now, now-s.windowAt)
		} else {
			b.meter.Restart(now)
		}
	}
	s.windowAt, s.resumedAt = now, resumedAt
	s.active = slices.DeleteFunc(s.active, func(b *Backend) bool {
		b.isActive = b.flows > 0 || b.meter.Busy() > 0 || !b.meter.IsQuiet()
		return !b.isActive
	})
}

// countSome counts the targets of the pools that changed and of some others.
func (s *loadState) countSome(now clock.Millis) {
	for _, d := range s.uncounted {
		d.count(now)
	}
	s.uncounted = s.uncounted[:0]
	for range min(poolsPerCount, len(s.pools)) {
		s.countIndex = (s.countIndex + 1) % len(s.pools)
		s.pools[s.countIndex].count(now)
	}
}

// addHeard adds up the reports of VMs of this VM's failure domain.
func (e *Engine) addHeard(now clock.Millis) {
	for _, b := range e.load.reported {
		b.heard = load.Work{}
	}
	e.load.reported = e.load.reported[:0]
	for report, weight := range e.load.heard.All(now) {
		for i := range report.Targets {
			e.addTarget(now, &report.Targets[i], weight)
		}
		for i := range report.Remote {
			e.load.addSum(&report.Remote[i], weight)
		}
	}
}

// addSum adds what a VM reported of a pool in sum.
func (s *loadState) addSum(p *load.PoolWork, weight float64) {
	d := s.byHash[p.Pool]
	if d == nil {
		return
	}
	s.markWorking(d)
	if d.isLocal {
		d.heardSum = d.heardSum.Add(p.Work.Scale(weight))
		return
	}
	d.heard = d.heard.Add(p.Work.Scale(weight))
}

// addTarget adds what a VM reported of one target, unless it is of another start of it.
func (e *Engine) addTarget(now clock.Millis, t *load.TargetWork, weight float64) {
	b := e.byTag[Tag(t.Tag)]
	if b == nil || b.target.Domain != e.options.Domain || t.Start != startBits(b.target) {
		return
	}
	if b.heard == (load.Work{}) {
		e.load.reported = append(e.load.reported, b)
	}
	work := t.Work.Scale(weight)
	b.heard = b.heard.Add(work)
	if b.countsInPool(now) {
		e.load.markWorking(b.domainPool)
		b.domainPool.heard = b.domainPool.heard.Add(work)
	}
}

// countsInPool reports whether the work at the target counts in the sums of its pool. These are spread over the
// targets that accept new flows, so the work of the others would make those look fuller than they are.
// Open flows of a target that was removed still point to it and its former pool.
func (b *Backend) countsInPool(now clock.Millis) bool {
	return b.domainPool.isListed && b.acceptsNewFlows(now)
}

// startBits returns eight bits that tell the restarts of a target apart. Its start times may be whole seconds, so
// the bits depend on all digits.
func startBits(t *Target) uint8 {
	const multiplier = 0x9e3779b97f4a7c15                  // 2^64 divided by the golden ratio (Fibonacci hashing)
	return uint8(uint64(t.StartedAtMS) * multiplier >> 56) //nolint:gosec // a negative time does no harm
}

// addNews adds what the VMs of another failure domain have under way at a pool.
func (s *loadState) addNews(p *load.PoolNews) {
	if _, hasNewer := s.newsAges[p.Source]; !hasNewer {
		s.newsAges[p.Source] = p.Age // they come with the newest first
	}
	d := s.byHash[p.Pool]
	if d == nil {
		return
	}
	s.markWorking(d)
	d.foreign = d.foreign.Add(p.Counted())
	if p.Source == load.HashDomain(d.id.Domain) {
		d.newsAge = p.Age
	}
}
