package entry

import (
	"context"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/table"
	"github.com/almondflow/almondflow/targets"
)

// evaluationInterval is the time between two evaluations of the targets.
const evaluationInterval = 1 * clock.Second

// healthChecker probes targets and ejects failing ones. Its fields are used only on the
// control goroutine, except runner and dueProbes.
type healthChecker struct {
	daemon  *Daemon
	monitor *targets.Monitor
	runner  *targets.Runner
	ejected map[flow.TargetID]bool
	// lastEvaluation is the time at which the targets were last evaluated.
	lastEvaluation clock.Millis
	// dueProbes passes probes from the control goroutine to the goroutine that starts
	// them.
	dueProbes *queue[targets.Probe]
}

func newHealthChecker(d *Daemon) *healthChecker {
	return &healthChecker{
		daemon:    d,
		monitor:   targets.New(d.self),
		runner:    targets.NewRunner(&targets.ConnectProber{}),
		ejected:   make(map[flow.TargetID]bool),
		dueProbes: newQueue[targets.Probe](maxQueued),
	}
}

// run starts probes and passes their outcomes to the control goroutine until ctx is done.
func (h *healthChecker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			h.runner.Wait()
			return
		case <-h.dueProbes.ready:
			h.runner.Start(ctx, h.dueProbes.drain())
		case outcome := <-h.runner.Outcomes():
			h.daemon.driver.Do(ctx, func(now clock.Millis, _ *member.Machine) {
				h.monitor.AddProbeOutcome(now, outcome.ID(), outcome.Passed())
			})
		}
	}
}

// mergeReports merges the reports about targets in a message of a peer.
func (h *healthChecker) mergeReports(now clock.Millis, m *member.Message) {
	if reports, ok := targets.DecodeReports(m.TargetReports); ok {
		h.monitor.AddReports(now, reports)
	}
}

// tick queues the probes that are due. Every evaluationInterval it also evaluates the
// targets, updates the ejected targets of the placer and sets the reports to send to peers.
func (h *healthChecker) tick(now clock.Millis, m *member.Machine) {
	for _, probe := range h.monitor.TakeDueProbes(now) {
		h.dueProbes.push(probe)
	}
	if now-h.lastEvaluation < evaluationInterval {
		return
	}
	h.lastEvaluation = now
	h.monitor.AddEvidence(now, h.daemon.placer.CollectEvidence())
	reports := h.monitor.Reports(now, member.MaxTargetReportBytes/targets.ReportSize)
	m.SetTargetReports(targets.AppendReports(nil, reports))
	ejected, changed := h.monitor.Tick(now)
	if !changed {
		return
	}
	h.daemon.placer.SetEjected(now, ejected)
	h.recordEjections(ejected)
}

// recordEjections adds the targets that were ejected, or are used again, since the last
// evaluation to the audit trail.
func (h *healthChecker) recordEjections(ejected []flow.TargetID) {
	tables := h.daemon.store.Tables()
	reasons := make(map[flow.TargetID]targets.Reason)
	for _, verdict := range h.monitor.Verdicts() {
		reasons[verdict.ID()] = verdict.Reason()
	}
	current := make(map[flow.TargetID]bool, len(ejected))
	for _, id := range ejected {
		current[id] = true
		if !h.ejected[id] {
			h.daemon.trail.Add(operator.ChangedTarget, hostName(tables, id), "used", "ejected", reasons[id].String())
		}
	}
	for id := range h.ejected {
		if !current[id] {
			h.daemon.trail.Add(operator.ChangedTarget, hostName(tables, id), "ejected", "used", "probes and flows")
		}
	}
	h.ejected = current
}

// hostName returns the name of a target's host for the audit trail.
func hostName(tables *table.Snapshot, id flow.TargetID) string {
	if tables != nil {
		if host, ok := tables.Host(id); ok {
			return host.Name()
		}
	}
	return "unknown host"
}
