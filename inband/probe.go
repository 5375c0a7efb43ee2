package inband

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
)

// outcomeLifetime is how long an outcome counts that speaks for a target's death or for a cut, and how long a
// message to VMs counts as unanswered. Flows are reset at once; for what is left, the target is probed again.
const outcomeLifetime = 2500 * clock.Millisecond

// ProbeOutcome is what a TCP connection to a target's address showed.
type ProbeOutcome string

// Outcomes of probes.
const (
	Answered    ProbeOutcome = "answered"    // accepted: the target's process runs, however it serves
	Refused     ProbeOutcome = "refused"     // refused: no process runs there
	Silent      ProbeOutcome = "silent"      // no answer, although another target answered meanwhile
	Unreachable ProbeOutcome = "unreachable" // as Silent, of a target of another domain, whose way may be cut
	// Inconclusive: not sent, or this VM or another target may be the cause, or the target never answered a probe.
	Inconclusive ProbeOutcome = "inconclusive"
)

// IsConclusive reports whether an outcome shows something of the target, which other VMs should know.
func (o ProbeOutcome) IsConclusive() bool {
	return o == Answered || o == Refused || o == Silent
}

// ProbeCause is why a target is probed.
type ProbeCause string

// Causes of probes.
const (
	CauseTimeout      ProbeCause = "timeout"       // packets that this VM forwarded were not answered
	CauseReport       ProbeCause = "report"        // another VM reported that
	CauseSilence      ProbeCause = "silence"       // another VM's probe was silent, or this VM's to another domain
	CauseFirstContact ProbeCause = "first_contact" // to know whether the target answers probes at all
)

// TargetProbe asks for a TCP connection to a target.
type TargetProbe struct {
	ID           string
	StartedAtMS  int64 // start time of the target in Unix milliseconds
	Address      netip.AddrPort
	Controls     []netip.AddrPort // other targets that seem to run, to be asked if this one is silent
	Cause        ProbeCause
	SuspectedFor clock.Millis // time since the first unanswered packet or report
}

// ProbeResult is the outcome of a probe that this VM sent.
type ProbeResult struct {
	Probe   *TargetProbe
	SentAt  clock.Millis
	Outcome ProbeOutcome
	// IsUnanswered is set if nothing came back in time, also where no other target answered and so nothing is shown.
	IsUnanswered bool
}

// ProbeReport reports the outcome of a probe to other VMs.
type ProbeReport struct {
	ID          string       `json:"id"`
	StartedAtMS int64        `json:"born"`
	Outcome     ProbeOutcome `json:"outcome"`
	AgeMS       clock.Millis `json:"age_ms"` // time since the probe was sent
	// Confirmed is set if the probes of two VMs were silent.
	Confirmed bool `json:"confirmed,omitempty"`
	// Relayed is set if the sender of a report of silence only heard of it. It may come from its receiver.
	Relayed bool `json:"relayed,omitempty"`
}

// probeState is what is known of the probes of one incarnation of a target.
type probeState struct {
	hasAnswered     bool         // it has accepted a connection, from this VM or another one
	isOut           bool         // this VM waits for an outcome
	nextAt          clock.Millis // earliest next probe by this VM
	contactInterval clock.Millis // time between attempts of the first contact
	outcome         ProbeOutcome // of the newest conclusive probe, or empty
	sentAt          clock.Millis // when that was sent
	// While outcome is Silent: whether probes of this VM and of one that told so itself were, and whether those
	// of two VMs were.
	hasOwnSilence, hasToldSilence, isConfirmed bool
	// Whether the target did not answer this VM's newest probe, and when that was sent. Of a target of this VM's domain
	// that counts although no other target answered, if another VM's probe is silent. Of one of another domain, a cut
	// explains it as well as a death.
	isPathSilent bool
	pathSilentAt clock.Millis
}

// isRefuted reports whether the target has answered a probe that was sent later than a packet.
func (p *probeState) isRefuted(packetSentAt clock.Millis) bool {
	return p.outcome == Answered && packetSentAt <= p.sentAt
}

// isProof reports whether the newest probe is recent and showed that the target's process is gone.
func (p *probeState) isProof(now clock.Millis) bool {
	return p.outcome == Refused && now-p.sentAt <= outcomeLifetime
}

// hasSilentPath reports whether the target did not answer a recent probe of this VM.
func (p *probeState) hasSilentPath(now clock.Millis) bool {
	return p.isPathSilent && now-p.pathSilentAt <= outcomeLifetime
}

// isSilent reports whether the newest probe is recent and was not answered.
func (p *probeState) isSilent(now clock.Millis) bool {
	return p.outcome == Silent && now-p.sentAt <= outcomeLifetime
}

// recordSilence records that a probe of this VM or of another one was silent.
func (p *probeState) recordSilence(now clock.Millis, s shown) {
	if !p.isSilent(now) {
		p.hasOwnSilence, p.hasToldSilence, p.isConfirmed = false, false, false
	}
	p.hasOwnSilence = p.hasOwnSilence || s.isOwn
	p.hasToldSilence = p.hasToldSilence || !s.isOwn && !s.isRelayed
	p.isConfirmed = p.isConfirmed || s.isConfirmed || p.hasOwnSilence && p.hasToldSilence
}

// refute forgets a probe that is older than a packet which the target answered.
func (p *probeState) refute(answeredSentAt clock.Millis) {
	if answeredSentAt >= p.sentAt {
		p.outcome = ""
	}
	if answeredSentAt >= p.pathSilentAt {
		p.isPathSilent = false
	}
}

// isDead reports whether the target is dead: a probe showed that its process is gone, or a probe was silent, one of this
// VM was not answered either, and neither were packets that this VM forwarded. No client has part in the probes, and
// other targets answered a prober meanwhile. Without own signs it takes the silent probes of two VMs, beside the sign that
// caused them.
func (b *Backend) isDead(now clock.Millis) bool {
	if b.probe.isProof(now) {
		return true
	}
	return b.probe.isSilent(now) && (b.probe.isConfirmed || b.probe.hasSilentPath(now) && b.evidence.isRecentlyUnresponsive(now))
}

// silentSince returns the time up to which flows of a dead target were last seen if they have been idle
// since before it died. A later packet may have been answered by a target that has started again.
func (b *Backend) silentSince(now clock.Millis) clock.Millis {
	ownSilence := b.evidence.unresponsiveSince + answerTimeout
	if b.probe.isProof(now) || b.probe.isConfirmed {
		return max(b.probe.sentAt, ownSilence)
	}
	return ownSilence
}
