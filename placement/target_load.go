package placement

import (
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// targetLoad holds the flow counts, the evidence and the slow start of one target. It is
// kept when the tables that name the target change. The counters are atomic; the fields
// below them are guarded by Placer.control.
type targetLoad struct {
	active         atomic.Int64
	recentPlaced   window
	recentOpenings window
	answered       atomic.Int64
	resets         atomic.Int64
	unanswered     atomic.Int64
	// placedSinceCollect counts the placed flows, and replied is set once this VM has
	// handled a packet of the target. Both are reset when the evidence is collected.
	placedSinceCollect atomic.Int64
	replied            atomic.Bool
	// retired is set once the load is removed from the table. It must not count any flows
	// after that.
	retired atomic.Bool
	// hasAnswered is set once the target has answered the opening of any flow.
	hasAnswered atomic.Bool

	id flow.TargetID
	// coldSince is when the slow start of the target began, while cold is set.
	coldSince clock.Millis
	cold      bool
	// pool is the name of the pool that last used the target in a plan.
	pool string
	// correction is a factor of the weight that accounts for load from elsewhere, as
	// reported to SetReports.
	correction float64
}

func newTargetLoad(id flow.TargetID) *targetLoad {
	return &targetLoad{id: id, correction: 1}
}

// reserve adds a flow unless the limit is reached or the load is retired. A limit of zero
// means no limit.
func (l *targetLoad) reserve(limit int64) bool {
	for {
		active := l.active.Load()
		if limit > 0 && active >= limit {
			return false
		}
		if l.active.CompareAndSwap(active, active+1) {
			break
		}
	}
	if l.retired.Load() {
		l.active.Add(-1)
		return false
	}
	return true
}

// release removes a flow. The count never falls below zero.
func (l *targetLoad) release() {
	for {
		active := l.active.Load()
		if active <= 0 || l.active.CompareAndSwap(active, active-1) {
			return
		}
	}
}

func (l *targetLoad) observe(now clock.Millis, evidence Evidence) {
	switch evidence {
	case Answered:
		l.answered.Add(1)
		if !l.hasAnswered.Load() {
			l.hasAnswered.Store(true)
		}
		l.recentOpenings.remove(now)
	case Reset:
		l.resets.Add(1)
		l.recentOpenings.remove(now)
	case Unanswered:
		l.unanswered.Add(1)
	case Replied:
		if !l.replied.Load() {
			l.replied.Store(true)
		}
	}
}

// collect returns and resets the evidence, and reports whether there is any.
func (l *targetLoad) collect() (Tally, bool) {
	t := Tally{
		id:         l.id,
		answered:   l.answered.Swap(0),
		resets:     l.resets.Swap(0),
		unanswered: l.unanswered.Swap(0),
		placed:     l.placedSinceCollect.Swap(0),
		replied:    l.replied.Swap(false),
	}
	return t, t.replied || t.answered+t.resets+t.unanswered+t.placed > 0
}

// LoadReport is the reported number of open flows on one target.
type LoadReport struct {
	id     flow.TargetID
	active int64
}

// NewLoadReport returns a report of the number of open flows on a target.
func NewLoadReport(id flow.TargetID, active int64) LoadReport {
	return LoadReport{id: id, active: active}
}

// ID returns the ID of the target.
func (r LoadReport) ID() flow.TargetID { return r.id }

// Active returns the number of open flows.
func (r LoadReport) Active() int64 { return r.active }
