package inband

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
)

// Limits for probes of targets.
const (
	// targetProbeInterval is the least time between two probes of a target by this VM.
	targetProbeInterval = 400 * clock.Millisecond
	// silenceLifetime is how long a probe without an answer counts as a sign.
	silenceLifetime = 2500 * clock.Millisecond
	// minContactInterval is the time after which the first contact with a target that did not answer
	// is tried again. It doubles each time, up to maxContactInterval.
	minContactInterval = clock.Second
	maxContactInterval = 32 * clock.Second
	// maxContactScan limits how many targets one call of FirstContact checks.
	maxContactScan = 64
	// maxControls is how many other targets are asked if a target does not answer a probe.
	maxControls = 2
	// maxControlAttempts limits the random choices of these targets.
	maxControlAttempts = 16
)

// ProbeOutcome is what a TCP connection to a target's address showed.
type ProbeOutcome string

// Outcomes of probes.
const (
	Answered     ProbeOutcome = "answered"     // accepted: the target's process runs, however it serves
	Refused      ProbeOutcome = "refused"      // refused: no process runs there
	Replaced     ProbeOutcome = "replaced"     // accepted by another target, which started later at this address
	Silent       ProbeOutcome = "silent"       // no answer, although another target answered meanwhile
	Inconclusive ProbeOutcome = "inconclusive" // not sent, or this VM may be the cause, or the target never answered a probe
)

// ProbeCause is why a target is probed.
type ProbeCause string

// Causes of probes.
const (
	CauseTimeout      ProbeCause = "timeout"       // packets that this VM forwarded were not answered
	CauseReport       ProbeCause = "report"        // another VM reported that
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
}

// ProbeReport reports the outcome of a probe to other VMs.
type ProbeReport struct {
	ID          string       `json:"id"`
	StartedAtMS int64        `json:"born"`
	Outcome     ProbeOutcome `json:"outcome"`
	AgeMS       clock.Millis `json:"age_ms"` // time since the probe was sent
}

// probeState is what is known of the probes of one incarnation of a target.
type probeState struct {
	hasAnswered     bool         // it has accepted a connection, from this VM or another one
	isOut           bool         // this VM waits for an outcome
	nextAt          clock.Millis // earliest next probe by this VM
	contactInterval clock.Millis // time between attempts of the first contact
	outcome         ProbeOutcome // of the newest conclusive probe, or empty
	sentAt          clock.Millis // when that was sent
}

// isRefuted reports whether the target has answered a probe that was sent later than a packet.
func (p *probeState) isRefuted(packetSentAt clock.Millis) bool {
	return p.outcome == Answered && packetSentAt <= p.sentAt
}

// isProof reports whether the newest probe showed that the target's process is gone.
func (p *probeState) isProof() bool { return p.outcome == Refused || p.outcome == Replaced }

// isSilent reports whether the newest probe was not answered, and is recent.
func (p *probeState) isSilent(now clock.Millis) bool {
	return p.outcome == Silent && now-p.sentAt <= silenceLifetime
}

// refute forgets a probe that is older than a packet which the target answered.
func (p *probeState) refute(answeredSentAt clock.Millis) {
	if answeredSentAt >= p.sentAt {
		p.outcome = ""
	}
}

// isProbeDue reports whether the target should be probed: there are recent signs, of this VM or
// another one, that are newer than the newest outcome, and that outcome is no verdict yet.
func (b *Backend) isProbeDue(now clock.Millis) bool {
	p, newest := &b.probe, b.evidence.newestSignAt()
	if p.isOut || now < p.nextAt || b.target.State == Gone || p.isProof() || p.isSilent(now) {
		return false
	}
	return newest > p.sentAt && now-newest <= timeoutLifetime
}

// SuspectsToProbe returns the ids of the targets that should be probed now, ordered by id.
func (e *Engine) SuspectsToProbe(now clock.Millis) []string {
	var ids []string
	for _, b := range e.watchlist.backends {
		if b.isProbeDue(now) {
			ids = append(ids, b.target.ID)
		}
	}
	return ids
}

// StartProbe starts the probe of a suspected target, whose outcome is passed to RecordProbe. It
// returns nil if the target need not be probed any more.
func (e *Engine) StartProbe(now clock.Millis, id string) *TargetProbe {
	b := e.byID[id]
	if b == nil || !b.isProbeDue(now) {
		return nil
	}
	cause, since := CauseTimeout, b.evidence.unresponsiveSince
	if !b.evidence.isRecentlyUnresponsive(now) {
		cause, since = CauseReport, b.evidence.reports.newestAt()
	}
	return e.startProbe(now, b, cause, now-since)
}

func (e *Engine) startProbe(now clock.Millis, b *Backend, cause ProbeCause, suspectedFor clock.Millis) *TargetProbe {
	b.probe.isOut = true
	b.probe.nextAt = now + targetProbeInterval
	return &TargetProbe{
		ID: b.target.ID, StartedAtMS: b.target.StartedAtMS, Address: b.target.Address, Controls: e.controls(b),
		Cause: cause, SuspectedFor: suspectedFor,
	}
}

// controls returns the addresses of other targets of this VM's domain that have answered packets or probes
// and are not suspected. If one of them answers while the probed target does not, this VM's own link works.
func (e *Engine) controls(probed *Backend) []netip.AddrPort {
	var chosen []netip.AddrPort
	for range min(maxControlAttempts, 2*len(e.local)) {
		b := e.local[e.random.IntN(len(e.local))]
		if b == probed || !b.isControl() {
			continue
		}
		chosen = append(chosen, b.target.Address)
		if len(chosen) == maxControls {
			break
		}
	}
	return chosen
}

// DomainOf returns the failure domain of a target, or an empty string if it is not known.
func (e *Engine) DomainOf(id string) string {
	if b := e.byID[id]; b != nil {
		return b.target.Domain
	}
	return ""
}

// IsLocal reports whether a target is of this VM's failure domain.
func (e *Engine) IsLocal(id string) bool {
	b := e.byID[id]
	return b != nil && b.target.Domain == e.options.Domain
}

// isControl reports whether the target is expected to accept connections.
func (b *Backend) isControl() bool {
	return (b.probe.hasAnswered || b.evidence.lastAnswerAt > 0) && !b.evidence.isUnresponsive() && b.target.State == Serving
}

// FirstContact returns a probe of a target of this VM's domain that is not known to answer
// probes, or nil. Once it has answered, a later refusal or silence means something. isResponsible selects
// the targets that this VM probes; others are left to other VMs. Each call checks a limited number.
func (e *Engine) FirstContact(now clock.Millis, isResponsible func(id string) bool) *TargetProbe {
	for range min(maxContactScan, len(e.local)) {
		e.contactIndex = (e.contactIndex + 1) % len(e.local)
		b := e.local[e.contactIndex]
		p := &b.probe
		if p.hasAnswered || p.isOut || now < p.nextAt || b.target.State != Serving || !isResponsible(b.target.ID) {
			continue
		}
		p.contactInterval = min(max(minContactInterval, 2*p.contactInterval), maxContactInterval)
		probe := e.startProbe(now, b, CauseFirstContact, 0)
		p.nextAt = now + p.contactInterval + e.jitter()
		return probe
	}
	return nil
}

// RecordProbe records the outcome of a probe and returns what it shows. Anything but Inconclusive
// should be reported to the other VMs.
func (e *Engine) RecordProbe(now clock.Millis, r ProbeResult) ProbeOutcome {
	b := e.byID[r.Probe.ID]
	if b == nil || b.target.StartedAtMS != r.Probe.StartedAtMS {
		return Inconclusive // it left or started again meanwhile
	}
	b.probe.isOut = false
	outcome := e.interpret(b, r)
	e.applyOutcome(now, b, outcome, r.SentAt)
	return outcome
}

// interpret returns what the outcome of a probe shows. A refusal or silence shows nothing if the target
// never answered a probe, as it may not accept connections at all, or if this VM stood still.
func (e *Engine) interpret(b *Backend, r ProbeResult) ProbeOutcome {
	switch r.Outcome {
	case Answered:
		if e.isReplaced(b) {
			return Replaced
		}
		return Answered
	case Refused, Silent:
		if !b.probe.hasAnswered || e.resumedAt > r.SentAt {
			return Inconclusive
		}
		return r.Outcome
	default:
		return Inconclusive
	}
}

// isReplaced reports whether another target that started later has the target's address.
func (e *Engine) isReplaced(b *Backend) bool {
	for _, other := range e.byID {
		o := other.target
		if other != b && o.Address == b.target.Address && o.State != Gone && o.StartedAtMS > b.target.StartedAtMS {
			return true
		}
	}
	return false
}

// applyOutcome applies what a probe sent at sentAt, here or by another VM, showed of a target.
func (e *Engine) applyOutcome(now clock.Millis, b *Backend, outcome ProbeOutcome, sentAt clock.Millis) {
	switch outcome {
	case Answered:
		b.probe.hasAnswered = true
		b.evidence.refuteSigns(sentAt)
	case Refused, Replaced, Silent:
		if b.evidence.answeredSentAt > sentAt || b.probe.isProof() {
			return // refuted already, or known already
		}
	default:
		return
	}
	if sentAt >= b.probe.sentAt || b.probe.outcome == "" {
		b.probe.outcome, b.probe.sentAt = outcome, sentAt
	}
	if b.isDead(now) {
		e.watchTarget(b)
	}
}

// ReceiveProbes applies the outcomes of probes that a VM of the given failure domain sent. They are
// ignored unless that VM is in this VM's own domain or in the target's domain.
func (e *Engine) ReceiveProbes(now clock.Millis, domain string, reports []ProbeReport) {
	for _, r := range reports {
		b := e.byID[r.ID]
		if b == nil || b.target.StartedAtMS != r.StartedAtMS || r.AgeMS < 0 || r.AgeMS > silenceLifetime {
			continue
		}
		if domain == e.options.Domain || domain == b.target.Domain {
			e.applyOutcome(now, b, r.Outcome, now-r.AgeMS)
		}
	}
}

// KnownOutcomes returns the outcomes of probes of those targets of some suspicions that a probe has shown
// to be dead or silent lately, for the VM that reported them.
func (e *Engine) KnownOutcomes(now clock.Millis, suspicions []Suspicion) []ProbeReport {
	var all []ProbeReport
	for _, s := range suspicions {
		if b := e.byID[s.ID]; b != nil && b.target.StartedAtMS == s.StartedAtMS && (b.probe.isProof() || b.probe.isSilent(now)) {
			all = append(all, b.probeReport(now))
		}
	}
	return all
}

// ReportOf returns the report of the newest conclusive probe of a target, and the VMs that reported the
// target. It returns nil if there is none.
func (e *Engine) ReportOf(now clock.Millis, id string) (*ProbeReport, []netip.AddrPort) {
	b := e.byID[id]
	if b == nil || b.probe.outcome == "" {
		return nil, nil
	}
	report := b.probeReport(now)
	return &report, b.evidence.reports.senders()
}

func (b *Backend) probeReport(now clock.Millis) ProbeReport {
	// A proof stays true; its age only has to be young enough for the receiver.
	age := min(now-b.probe.sentAt, silenceLifetime)
	return ProbeReport{ID: b.target.ID, StartedAtMS: b.target.StartedAtMS, Outcome: b.probe.outcome, AgeMS: age}
}

// isDead reports whether the target is dead: a probe showed that its process is gone, or a probe was not
// answered and neither were packets that this VM forwarded. These are two independent signs, as no
// client has part in the probe, and other targets answered this VM meanwhile.
func (b *Backend) isDead(now clock.Millis) bool {
	return b.probe.isProof() || b.probe.isSilent(now) && b.evidence.isRecentlyUnresponsive(now)
}

// silentSince returns the time up to which flows of a dead target were last seen if they have been idle
// since before it died. A later packet may have been answered by a target that has started again.
func (b *Backend) silentSince() clock.Millis {
	if b.probe.isProof() {
		return max(b.probe.sentAt, b.evidence.unresponsiveSince+answerTimeout)
	}
	return b.evidence.unresponsiveSince + answerTimeout
}
