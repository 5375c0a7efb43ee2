package inband

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/outcome"
	"github.com/almondflow/almondflow/slowstart"
	"github.com/almondflow/almondflow/spread"
)

// Backend is a target together with what this entry VM observes of it.
type Backend struct {
	target         *Target
	tag            Tag
	sharesTag      bool // its tag collides with another target's, so it gets no new flows
	isDrained      bool // its failure domain is drained, so it gets no new flows
	slowStartUntil clock.Millis
	slowStart      slowstart.Share // of this VM
	// Set while the target's store entry has expired but the target may still be running: until
	// fallbackUntil it gets new flows if the other targets are busy, and until mayReturnUntil
	// its flows are kept. Zero if the entry is current or the target was removed.
	fallbackUntil  clock.Millis
	mayReturnUntil clock.Millis
	flows          int // open flows that this VM placed or forwards
	busy           int // those of them that wait for an answer
	evidence       evidence
	probe          probeState
	latency        outcome.Latency
	pool           *pool
	domainPool     *domainPool   // the part of the pool in the target's failure domain
	meter          load.Meter    // of this VM's own work
	heard          load.Work     // work that other VMs of this VM's failure domain reported
	pace           spread.Pace   // of the target, where flows are placed by shared load
	isActive       bool          // listed as one with work of this VM
	stats          outcome.Stats // outcomes of its requests, seen here and reported by other VMs
	isFailing      bool          // as of the last TakeStatusChanges
	isWatched      bool          // listed in the engine's watchlist
	unreported     outcomeCounts // outcomes not yet reported to the other VMs
}

// applyPublished replaces the published state of the target. Observations are kept unless the
// target has restarted.
func (b *Backend) applyPublished(p Published) {
	if b.target != nil && b.target.StartedAtMS != p.Target.StartedAtMS && p.Target.State != Gone {
		b.evidence, b.probe, b.stats, b.unreported = evidence{}, probeState{}, outcome.Stats{}, outcomeCounts{}
		b.heard = load.Work{}
		b.meter.Forget()
		b.pace = spread.Pace{}
		b.slowStart = slowstart.Share{}
	}
	b.target, b.slowStartUntil = p.Target, p.SlowStartUntil
	b.fallbackUntil, b.mayReturnUntil = p.FallbackUntil, p.MayReturnUntil
}

// isRemoved reports whether the target's entry has ended and is not expected back.
func (b *Backend) isRemoved(now clock.Millis) bool {
	return b.target.State == Gone && now >= b.mayReturnUntil
}

// isExpectedToRun reports whether the target is in service as far as the store shows: it has not begun
// to leave, and its entry is there or may have ended only because its heartbeats were lost. The silence
// of any other target needs no further cause.
func (b *Backend) isExpectedToRun(now clock.Millis) bool {
	return b.target.State == Serving || b.fallbackUntil > 0 && now < b.mayReturnUntil
}

// acceptsNewFlows reports whether new flows may be sent to the target.
func (b *Backend) acceptsNewFlows(now clock.Millis) bool {
	return !b.sharesTag && !b.isDrained && (b.target.State == Serving || now < b.fallbackUntil)
}

// Target returns the target as last published.
func (b *Backend) Target() *Target { return b.target }

// Flows returns the number of open flows that this entry VM forwards to the target.
func (b *Backend) Flows() int { return b.flows }

// Busy returns the number of open flows to the target that wait for an answer.
func (b *Backend) Busy() int { return b.busy }
