package placement

import (
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// load is what this entry VM knows of one target. It outlives the tables that name the
// target. Counters are atomic; the fields below them belong to Placer.control.
type load struct {
	active   atomic.Int64
	placed   window
	opening  window
	answered atomic.Int64
	resets   atomic.Int64
	silences atomic.Int64
	// fresh counts placed flows, and replied says that packets of the target passed,
	// both since the evidence was last collected.
	fresh   atomic.Int64
	replied atomic.Bool
	// retired says that the load was forgotten and must not count any more.
	retired atomic.Bool
	// answers says that an answer of the target was ever seen.
	answers atomic.Bool

	id flow.TargetID
	// started is when the target began its slow start.
	started clock.Millis
	cold    bool
	// pool is the pool that the target belongs to.
	pool string
	// correction multiplies the weight. It follows reports of load from elsewhere.
	correction float64
}

func newLoad(id flow.TargetID) *load {
	return &load{id: id, correction: 1}
}

// reserve counts one more flow unless limit flows are open or the load is retired. A
// limit of zero is none.
func (l *load) reserve(limit int64) bool {
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

// release counts one flow less. The count never falls below zero.
func (l *load) release() {
	for {
		active := l.active.Load()
		if active <= 0 || l.active.CompareAndSwap(active, active-1) {
			return
		}
	}
}

func (l *load) observe(now clock.Millis, evidence Evidence) {
	switch evidence {
	case Answered:
		l.answered.Add(1)
		if !l.answers.Load() {
			l.answers.Store(true)
		}
		l.opening.remove(now)
	case Reset:
		l.resets.Add(1)
		l.opening.remove(now)
	case Silence:
		l.silences.Add(1)
	case Replied:
		if !l.replied.Load() {
			l.replied.Store(true)
		}
	}
}

// collect returns the evidence since the last call and reports whether there is any.
func (l *load) collect() (Tally, bool) {
	t := Tally{
		id:       l.id,
		answered: l.answered.Swap(0),
		resets:   l.resets.Swap(0),
		silences: l.silences.Swap(0),
		placed:   l.fresh.Swap(0),
		replied:  l.replied.Swap(false),
	}
	return t, t.replied || t.answered+t.resets+t.silences+t.placed > 0
}

// Load is a report of the flows of one target.
type Load struct {
	id     flow.TargetID
	active int64
}

// NewLoad builds a report.
func NewLoad(id flow.TargetID, active int64) Load {
	return Load{id: id, active: active}
}

// ID returns the target.
func (l Load) ID() flow.TargetID { return l.id }

// Active returns the number of open flows.
func (l Load) Active() int64 { return l.active }
