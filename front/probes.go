package front

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

const (
	// maxProbesAtOnce and probesPerSecond limit the probes of targets by this VM.
	maxProbesAtOnce = 8
	probesPerSecond = 16
	// maxProbeDelay is the longest random delay before a probe, so that VMs do not probe a target together.
	maxProbeDelay = 5 * time.Millisecond
	// siblingsKnownDelay is how long after its view is complete a VM knows most other VMs of its failure domain.
	siblingsKnownDelay = 4 * clock.Second
)

// startProbes starts the probes of suspected targets that this VM is to probe, as far as the limits
// permit. The others are probed by the VMs to which the suspicions are reported.
func (d *Daemon) startProbes(now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isStopping {
		return
	}
	for _, id := range d.engine.SuspectsToProbe(now, d.isProber(now)) {
		if !d.allowProbe(now) {
			return
		}
		if probe := d.engine.StartProbe(now, id); probe != nil {
			d.queueProbe(probe)
		}
	}
}

// startFirstContact probes one target that this VM is to probe and that is not known to answer.
func (d *Daemon) startFirstContact(now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isStopping || !d.knowsSiblings(now) || d.probesOut >= maxProbesAtOnce {
		return
	}
	probe := d.engine.FirstContact(now, d.isProber(now))
	if probe != nil {
		d.queueProbe(probe)
	}
}

// knowsSiblings reports whether this VM knows most other VMs of its failure domain. The caller holds the lock.
func (d *Daemon) knowsSiblings(now clock.Millis) bool {
	return d.catalog.IsComplete() && now-d.readyAt >= siblingsKnownDelay
}

// isProber returns a function that reports whether this VM probes a target of its domain. The caller holds
// the lock.
func (d *Daemon) isProber(now clock.Millis) func(id string) bool {
	return func(id string) bool { return d.members.IsProber(now, id) }
}

// allowProbe reports whether the limits permit another probe. The caller holds the lock.
func (d *Daemon) allowProbe(now clock.Millis) bool {
	return d.probesOut < maxProbesAtOnce && d.probeBucket.allow(now, 1, 0)
}

// queueProbe passes a probe to runProbes. There is room, as probesOut is limited. The caller holds the lock.
func (d *Daemon) queueProbe(probe *inband.TargetProbe) {
	d.probesOut++
	d.probes <- queuedProbe{probe, time.Duration(d.random.Int64N(int64(maxProbeDelay)))}
}

// queuedProbe is a probe that starts after a delay.
type queuedProbe struct {
	probe *inband.TargetProbe
	delay time.Duration
}

// runProbes runs the queued probes, each in a goroutine of its own, until the context is done.
func (d *Daemon) runProbes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case queued := <-d.probes:
			go d.runProbe(ctx, queued)
		}
	}
}

func (d *Daemon) runProbe(ctx context.Context, queued queuedProbe) {
	time.Sleep(queued.delay)
	now := d.clock.Now()
	pauses := d.checkForPause(now)
	d.finishProbe(queued.probe, now, pauses, d.prober.check(ctx, queued.probe))
}

// finishProbe records the outcome of a probe, resets the flows of the target if it is dead, and reports the
// outcome to siblings.
func (d *Daemon) finishProbe(probe *inband.TargetProbe, sentAt clock.Millis, pauses int, result attempt) {
	now := d.clock.Now()
	if d.checkForPause(now) != pauses && result.outcome != inband.Answered {
		result = attempt{inband.Inconclusive, errPausedMeanwhile}
	}
	isUnanswered := result.outcome == inband.Silent || errors.Is(result.err, errNoControl)
	d.mu.Lock()
	d.probesOut--
	wasSilent := d.engine.IsSilent(now, probe.ID)
	shown := d.engine.RecordProbe(now, inband.ProbeResult{Probe: probe, SentAt: sentAt, Outcome: result.outcome, IsUnanswered: isUnanswered})
	message := siblings.Message{Kind: siblings.Suspect}
	var recipients []netip.AddrPort
	if report, reporters := d.engine.ReportOf(now, probe.ID); report != nil && shown.IsConclusive() && probe.Cause != inband.CauseFirstContact {
		message.Probes = []inband.ProbeReport{*report}
		recipients = d.probeRecipients(now, probe.ID, shown == inband.Answered && !wasSilent, reporters)
	}
	d.metrics.recordProbe(shown, now-sentAt)
	d.mu.Unlock()
	d.resetFlowsOfLostTargets(now)
	if len(recipients) > 0 {
		d.send(message, recipients)
	}
	d.logProbe(now, now-sentAt, probe, shown, result)
}

// probeRecipients returns the VMs that are told the outcome of a probe: those that reported the target.
// Unless it answered as expected, so are the other VM that probes it and many of this VM's failure
// domain, which may have been told otherwise. The caller holds the lock.
func (d *Daemon) probeRecipients(now clock.Millis, id string, isAsExpected bool, reporters []netip.AddrPort) []netip.AddrPort {
	if isAsExpected {
		return reporters
	}
	recipients := addMissing(reporters, d.members.ProbersOf(now, id, d.engine.DomainOf(id)))
	return addMissing(recipients, addressesOf(d.members.SampleLocal(now, maxSuspicionRecipients)))
}

// tellConfirmed tells many VMs of this VM's failure domain which targets were silent to two VMs.
func (d *Daemon) tellConfirmed(now clock.Millis, confirmed []inband.ProbeReport) {
	if len(confirmed) == 0 {
		return
	}
	d.mu.Lock()
	recipients := addressesOf(d.members.SampleLocal(now, maxSuspicionRecipients))
	d.mu.Unlock()
	d.send(siblings.Message{Kind: siblings.Suspect, Probes: confirmed}, recipients)
}

// logToldProbes logs what probes of another VM showed.
func (d *Daemon) logToldProbes(now clock.Millis, m *siblings.Message) {
	for _, p := range m.Probes {
		d.logRoutine("probe_told", "at_ms", now, "target", p.ID, "outcome", p.Outcome, "age_ms", p.AgeMS, "from", m.From.Address)
	}
}

// logProbe logs one probe: why it was sent, how long the target had been suspected, what the connection saw and what
// that showed of the target.
func (d *Daemon) logProbe(now, took clock.Millis, probe *inband.TargetProbe, shown inband.ProbeOutcome, result attempt) {
	reason := ""
	if result.err != nil {
		reason = result.err.Error()
	}
	d.log.Info("target_probed", "at_ms", now, "target", probe.ID, "address", probe.Address, "cause", probe.Cause,
		"suspected_ms", probe.SuspectedFor, "took_ms", took, "saw", result.outcome, "outcome", shown, "reason", reason)
}
