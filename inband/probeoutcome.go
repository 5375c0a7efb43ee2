package inband

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
)

// RecordProbe records the outcome of a probe and returns what it shows.
func (e *Engine) RecordProbe(now clock.Millis, r ProbeResult) ProbeOutcome {
	b := e.byID[r.Probe.ID]
	if b == nil || b.target.StartedAtMS != r.Probe.StartedAtMS {
		return Inconclusive // it left or started again meanwhile
	}
	e.recordActivity(now) // the outcome may be the first event after the process stood still
	b.probe.isOut = false
	outcome := e.interpret(b, r)
	e.recordPath(b, r, outcome)
	e.applyOutcome(now, b, shown{outcome: outcome, sentAt: r.SentAt, isOwn: true})
	return outcome
}

// recordPath records whether this VM's probe was answered.
func (e *Engine) recordPath(b *Backend, r ProbeResult, shown ProbeOutcome) {
	isUnanswered := shown == Unreachable || shown == Silent || r.IsUnanswered && e.isLocal(b) && e.resumedAt <= r.SentAt
	if isUnanswered || r.Outcome != Inconclusive {
		b.probe.isPathSilent, b.probe.pathSilentAt = isUnanswered, r.SentAt
	}
}

// interpret returns what the outcome of a probe shows. An answer shows nothing if it may be another target's. A refusal
// or silence shows nothing of the target if it never answered a probe, as it may not accept connections at all, or if
// this VM stood still. Nor does silence of a target of another domain, which may be cut off.
func (e *Engine) interpret(b *Backend, r ProbeResult) ProbeOutcome {
	switch r.Outcome {
	case Answered:
		if e.sharesAddress(b) {
			return Inconclusive
		}
		return Answered
	case Refused, Silent:
		if r.Outcome == Silent && !e.isLocal(b) && e.resumedAt <= r.SentAt {
			return Unreachable
		}
		if !b.probe.hasAnswered || e.resumedAt > r.SentAt {
			return Inconclusive
		}
		return r.Outcome
	default:
		return Inconclusive
	}
}

// sharesAddress reports whether another entry names the target's address, so that it is not known who answers there. The
// entry alone proves no death of the target: it may be of another writer, and times of starts come from other clocks.
func (e *Engine) sharesAddress(b *Backend) bool {
	for _, other := range e.byID {
		if other != b && other.target.Address == b.target.Address && other.target.State != Gone {
			return true
		}
	}
	return false
}

// shown is what a probe showed of a target.
type shown struct {
	outcome     ProbeOutcome
	sentAt      clock.Millis
	isOwn       bool // this VM sent the probe
	isConfirmed bool // the VM that told it knows of the silent probes of two VMs
	isRelayed   bool // the VM that told it did not send the probe, which may be this VM's
}

// IsSilent reports whether a recent probe of a target, of this VM or another one, was silent.
func (e *Engine) IsSilent(now clock.Millis, id string) bool {
	b := e.byID[id]
	return b != nil && b.probe.isSilent(now)
}

// applyOutcome applies what a probe showed of a target.
func (e *Engine) applyOutcome(now clock.Millis, b *Backend, s shown) {
	p := &b.probe
	switch s.outcome {
	case Answered:
		p.hasAnswered = true
		b.evidence.refuteSigns(s.sentAt)
	case Refused, Silent:
		isRefuted := b.evidence.hasAnswerAfter(s.sentAt) || p.outcome == Answered && p.sentAt > s.sentAt
		p.hasAnswered = true // known to this VM, or to the one that sent the probe
		if isRefuted || p.isProof(now) {
			return
		}
	default:
		return
	}
	if s.outcome == Silent {
		p.recordSilence(now, s)
	}
	if s.sentAt >= p.sentAt || p.outcome == "" {
		p.outcome, p.sentAt = s.outcome, s.sentAt
	}
	if b.isDead(now) {
		e.watchTarget(b)
	}
}

// ReceiveProbes applies the outcomes of probes that a VM of the given failure domain sent. They are
// ignored unless that VM is in this VM's own domain or in the target's domain. It returns the targets whose
// silence is confirmed by that, by an own probe and another VM's, which the others do not know yet.
func (e *Engine) ReceiveProbes(now clock.Millis, domain string, reports []ProbeReport) []ProbeReport {
	var confirmed []ProbeReport
	for _, r := range reports {
		b := e.byID[r.ID]
		if b == nil || b.target.StartedAtMS != r.StartedAtMS || r.AgeMS < 0 || r.AgeMS > outcomeLifetime {
			continue
		}
		if domain != e.options.Domain && domain != b.target.Domain {
			continue
		}
		wasConfirmed := b.probe.isSilent(now) && b.probe.isConfirmed
		e.applyOutcome(now, b, shown{outcome: r.Outcome, sentAt: now - r.AgeMS, isConfirmed: r.Confirmed, isRelayed: r.Relayed})
		if !wasConfirmed && !r.Confirmed && b.probe.isSilent(now) && b.probe.isConfirmed {
			confirmed = append(confirmed, b.probeReport(now))
		}
	}
	return confirmed
}

// KnownOutcomes returns the outcomes of probes of those targets of some suspicions that a probe has shown
// to be dead or silent lately, for the VM that reported them.
func (e *Engine) KnownOutcomes(now clock.Millis, suspicions []Suspicion) []ProbeReport {
	var all []ProbeReport
	for _, s := range suspicions {
		if b := e.byID[s.ID]; b != nil && b.target.StartedAtMS == s.StartedAtMS && (b.probe.isProof(now) || b.probe.isSilent(now)) {
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
	return ProbeReport{
		ID:          b.target.ID,
		StartedAtMS: b.target.StartedAtMS,
		Outcome:     b.probe.outcome,
		AgeMS:       now - b.probe.sentAt,
		Confirmed:   b.probe.isSilent(now) && b.probe.isConfirmed,
		Relayed:     b.probe.isSilent(now) && !b.probe.hasOwnSilence,
	}
}
