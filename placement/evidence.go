package placement

import "github.com/almondflow/almondflow/flow"

// Evidence is what the packets of a flow show about its target.
type Evidence uint8

// Kinds of evidence.
const (
	// Answered means that the target answered the opening of a flow. It is reported
	// once a flow, by the entry VM that placed it.
	Answered Evidence = iota + 1
	// Reset means that the target refused the opening of a flow.
	Reset
	// Silence means that a client had to repeat the opening of a flow.
	Silence
	// Replied means that a packet of the target to any client passed here. It may be
	// reported for every packet, by every entry VM.
	Replied
)

// String returns the name used in logs and metrics.
func (e Evidence) String() string {
	switch e {
	case Answered:
		return "answered"
	case Reset:
		return "reset"
	case Silence:
		return "silence"
	case Replied:
		return "replied"
	default:
		return "unknown"
	}
}

// Tally is the evidence about one target since it was last collected.
type Tally struct {
	id       flow.TargetID
	answered int64
	resets   int64
	silences int64
	placed   int64
	replied  bool
}

// NewTally builds a Tally.
func NewTally(id flow.TargetID, answered, resets, silences int64) Tally {
	return Tally{id: id, answered: answered, resets: resets, silences: silences}
}

// WithReplies adds the number of flows that this VM placed on the target, and whether
// any packet of the target passed here.
func (t Tally) WithReplies(placed int64, replied bool) Tally {
	t.placed, t.replied = placed, replied
	return t
}

// ID returns the target.
func (t *Tally) ID() flow.TargetID { return t.id }

// Answered returns the number of openings that the target answered.
func (t *Tally) Answered() int64 { return t.answered }

// Resets returns the number of openings that the target refused.
func (t *Tally) Resets() int64 { return t.resets }

// Silences returns the number of openings that clients had to repeat.
func (t *Tally) Silences() int64 { return t.silences }

// Placed returns the number of flows that this VM placed on the target.
func (t *Tally) Placed() int64 { return t.placed }

// Replied reports whether any packet of the target passed here.
func (t *Tally) Replied() bool { return t.replied }
