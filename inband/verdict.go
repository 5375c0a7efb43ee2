package inband

import "github.com/almondflow/almondflow/outcome"

// Action is what happens to a packet.
type Action uint8

// Actions of a verdict.
const (
	Drop    Action = iota // the packet is discarded
	Forward               // the packet goes to the verdict's backend
	Reset                 // the client is sent a reset
)

// Reason explains a verdict.
type Reason uint8

// Reasons of verdicts.
const (
	Forwarded         Reason = iota // packet of an existing flow
	Placed                          // new flow
	PlacedLate                      // new flow whose earlier openings were not seen here
	Repeated                        // retransmitted opening, sent to the same target
	MovedUnresponsive               // retransmitted opening, sent to another target because the first did not answer
	MovedUnavailable                // retransmitted opening, sent to another target because the first takes it no more
	NoRoute                         // no route for the address
	NoTarget                        // no target accepts the flow
	Overloaded                      // refused in favor of more urgent flows
	UnknownTag                      // the packet names a target that is not known here
	TargetDead                      // the flow's target is lost
	Unanswered                      // packet of an existing flow that was retransmitted because the target did not answer
	NoTargetInRegion                // no target in the regions that the route allows accepts the flow
	Deferred                        // opening that may be a copy, dropped in favor of more urgent flows: its client sends it again
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

var reasonNames = [...]string{
	"carried", "placed", "placed_late", "repeated", "moved_silent", "moved_unavailable",
	"no_route", "no_target", "overloaded", "unknown_tag", "target_dead", "unanswered", "no_target_in_region",
	"deferred",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the engine's decision on one packet.
type Verdict struct {
	Action       Action
	Reason       Reason
	Backend      *Backend     // receives the packet; for a reset, the target that caused it
	Unresponsive *Backend     // the target that did not answer the previous opening, or nil
	Seq          uint32       // sequence number of a reset
	Loss         outcome.Loss // why the target is lost to the flow, with TargetDead
}

func forward(b *Backend, reason Reason) Verdict {
	return Verdict{Action: Forward, Reason: reason, Backend: b}
}

// Tag returns the tag of the forwarded packet's target. The verdict must have a backend.
func (v *Verdict) Tag() Tag { return v.Backend.tag }
