package placement

import "github.com/almondflow/almondflow/flow"

// Evidence is what the packets of a flow show about the health of its target.
type Evidence uint8

// Kinds of evidence.
const (
	// Answered means that the target answered the opening of a flow. It is reported once
	// for each flow, by the entry VM that placed it.
	Answered Evidence = iota + 1
	// Reset means that the target refused the opening of a flow.
	Reset
	// Unanswered means that a client retransmitted the opening of a flow because the target
	// had not answered.
	Unanswered
	// Replied means that this VM handled a packet of the target to any client. Any entry
	// VM may report it, for every packet.
	Replied
)

// String returns the name of the evidence in logs and metrics.
func (e Evidence) String() string {
	switch e {
	case Answered:
		return "answered"
	case Reset:
		return "reset"
	case Unanswered:
		return "silence"
	case Replied:
		return "replied"
	default:
		return "unknown"
	}
}

// Tally counts the evidence about one target since the last collection.
type Tally struct {
	id         flow.TargetID
	answered   int64
	resets     int64
	unanswered int64
	placed     int64
	replied    bool
}

// NewTally returns a Tally with the numbers of openings that the target answered, refused
// and left unanswered.
func NewTally(id flow.TargetID, answered, resets, unanswered int64) Tally {
	return Tally{id: id, answered: answered, resets: resets, unanswered: unanswered}
}

// WithReplies returns a copy of the tally with the number of flows that this VM placed on
// the target, and whether this VM handled any packet of the target.
func (t Tally) WithReplies(placed int64, replied bool) Tally {
	t.placed, t.replied = placed, replied
	return t
}

// ID returns the ID of the target.
func (t *Tally) ID() flow.TargetID { return t.id }

// Answered returns the number of openings that the target answered.
func (t *Tally) Answered() int64 { return t.answered }

// Resets returns the number of openings that the target refused.
func (t *Tally) Resets() int64 { return t.resets }

// Unanswered returns the number of openings that clients retransmitted.
func (t *Tally) Unanswered() int64 { return t.unanswered }

// Placed returns the number of flows that this VM placed on the target.
func (t *Tally) Placed() int64 { return t.placed }

// Replied reports whether this VM handled any packet of the target.
func (t *Tally) Replied() bool { return t.replied }
