package experiment

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

// Times of probes, as in the daemon.
const (
	connectTimeout    = 150 * clock.Millisecond
	maxTimeoutDelay   = 20 * clock.Millisecond
	firstContactDelay = 4 * clock.Second
	// expiryTimeout is how long the other VMs know a VM that stopped.
	expiryTimeout = clock.Minute
	// maxAcceptDelay is how long targets with LateProbes take to accept a connection.
	maxAcceptDelay = 140 * clock.Millisecond
)

// isProber reports whether this VM probes a target.
func (v *vm) isProber(id string) bool {
	s := v.sim
	if t := s.byID[id]; t == nil || t.domain != v.domain {
		return false
	}
	var known []netip.AddrPort
	for _, sibling := range s.vms {
		if sibling.domain == v.domain && (sibling.isUp || s.now-sibling.stoppedAt < expiryTimeout) {
			known = append(known, sibling.peerAddress())
		}
	}
	for _, prober := range siblings.Probers(id, known) {
		if prober == v.peerAddress() {
			return true
		}
	}
	return false
}

// startProbes probes the suspected targets that this VM is to probe.
func (v *vm) startProbes() {
	for _, id := range v.engine.SuspectsToProbe(v.sim.now, v.isProber) {
		if probe := v.engine.StartProbe(v.sim.now, id); probe != nil {
			v.runProbe(probe)
		}
	}
}

// startFirstContact probes one target that is not known to answer.
func (v *vm) startFirstContact() {
	if v.sim.now-v.startedAt < firstContactDelay {
		return
	}
	if probe := v.engine.FirstContact(v.sim.now, v.isProber); probe != nil {
		v.runProbe(probe)
	}
}

// runProbe simulates a probe and passes on its outcome. A process that stood still does not trust a timeout.
func (v *vm) runProbe(probe *inband.TargetProbe) {
	s, incarnation, sentAt := v.sim, v.incarnation, v.sim.now
	probed := s.byID[probe.ID]
	outcome, delay := v.connect(probed)
	if outcome != inband.Answered {
		probed.unansweredAt = s.now
	}
	isUnanswered := outcome == inband.Silent
	if isUnanswered && !v.hasControl(probe) {
		outcome = inband.Inconclusive
	}
	s.schedule(delay, func() {
		v.do(func() {
			if v.incarnation != incarnation {
				return
			}
			if s.now-sentAt > connectTimeout+maxTimeoutDelay {
				outcome = v.lateOutcome(outcome)
				isUnanswered = outcome == inband.Silent
			}
			v.finishProbe(probe, sentAt, outcome, isUnanswered)
		})
	})
}

// lateOutcome returns what the VM takes a probe for if it stood still until after the timeout.
func (v *vm) lateOutcome(outcome inband.ProbeOutcome) inband.ProbeOutcome {
	switch {
	case v.sim.size.NoLateGuard:
		return inband.Silent
	case outcome == inband.Silent:
		return inband.Inconclusive
	default:
		return outcome
	}
}

// connect returns the outcome of a connection to a target, and the time until it is known.
func (v *vm) connect(t *target) (inband.ProbeOutcome, clock.Millis) {
	s := v.sim
	roundTrip := 2 * latencyBetween(v.domain, t.domain)
	switch {
	case !v.reaches(t) || s.isLost(t.domain, v.domain):
		return inband.Silent, connectTimeout
	case t.isDown && t.hasMachine, t.isPortless, s.size.NoProbes:
		return inband.Refused, roundTrip
	case t.isDown, t.fault == LoseProbes:
		return inband.Silent, connectTimeout
	case t.fault == LateProbes:
		return inband.Answered, roundTrip + clock.Millis(s.random.Int64N(int64(maxAcceptDelay)))
	default:
		return inband.Answered, roundTrip
	}
}

// hasControl reports whether one of the other targets that a probe names answers.
func (v *vm) hasControl(probe *inband.TargetProbe) bool {
	for _, address := range probe.Controls {
		for _, t := range v.sim.targets {
			if t.spec.Address != address {
				continue
			}
			if outcome, _ := v.connect(t); outcome == inband.Answered {
				return true
			}
		}
	}
	return false
}

// finishProbe records the outcome of a probe and tells it to the other VMs.
func (v *vm) finishProbe(probe *inband.TargetProbe, sentAt clock.Millis, outcome inband.ProbeOutcome, isUnanswered bool) {
	s := v.sim
	s.trace("vm%d probe %s cause=%s sent=%d outcome=%s suspected=%d", v.number, probe.ID, probe.Cause, sentAt, outcome, probe.SuspectedFor)
	shown := v.engine.RecordProbe(s.now, inband.ProbeResult{Probe: probe, SentAt: sentAt, Outcome: outcome, IsUnanswered: isUnanswered})
	if report, _ := v.engine.ReportOf(s.now, probe.ID); report != nil && shown.IsConclusive() && probe.Cause != inband.CauseFirstContact {
		v.tellProbes(s.vms, []inband.ProbeReport{*report})
	}
	v.resetFlowsOfLostTargets()
}

// tellProbes reports outcomes of probes to other VMs.
func (v *vm) tellProbes(recipients []*vm, reports []inband.ProbeReport) {
	s := v.sim
	for _, recipient := range recipients {
		if recipient == v || len(reports) == 0 || s.isLost(v.domain, recipient.domain) {
			continue
		}
		receive := func() { recipient.do(func() { recipient.receiveProbes(v, reports) }) }
		s.schedule(latencyBetween(v.domain, recipient.domain), receive)
		if s.repeatsMessages {
			s.schedule(latencyBetween(v.domain, recipient.domain), receive)
		}
	}
}

// receiveProbes takes in outcomes of another VM's probes.
func (v *vm) receiveProbes(from *vm, reports []inband.ProbeReport) {
	s := v.sim
	confirmed := v.engine.ReceiveProbes(s.now, domainName(from.domain), reports)
	s.trace("vm%d told by vm%d %+v confirmed=%v", v.number, from.number, reports, confirmed)
	v.tellProbes(s.vms, confirmed)
	v.startProbes()
	v.resetFlowsOfLostTargets()
}

// receiveSuspicions takes in suspicions of another VM and answers with what probes have shown.
func (v *vm) receiveSuspicions(from *vm, suspicions []inband.Suspicion) {
	v.sim.trace("vm%d suspicions from vm%d %+v", v.number, from.number, suspicions)
	v.engine.ReceiveSuspicions(v.sim.now, from.peerAddress(), domainName(from.domain), suspicions)
	v.tellProbes([]*vm{from}, v.engine.KnownOutcomes(v.sim.now, suspicions))
	v.startProbes()
}
