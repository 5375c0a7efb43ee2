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

// judgeInterval is how often the evidence about targets is collected and judged.
const judgeInterval = 1 * clock.Second

// health judges the targets for the control goroutine.
type health struct {
	daemon  *Daemon
	monitor *targets.Monitor
	runner  *targets.Runner
	ejected map[flow.TargetID]bool
	// judged is when the targets were last judged.
	judged clock.Millis
	// due passes probes from the control goroutine to the one that starts them.
	due *queue[targets.Probe]
}

func newHealth(d *Daemon) *health {
	return &health{
		daemon:  d,
		monitor: targets.New(d.self),
		runner:  targets.NewRunner(&targets.ConnectProber{}),
		ejected: make(map[flow.TargetID]bool),
		due:     newQueue[targets.Probe](maxQueued),
	}
}

// follow starts probes and hands their outcomes to the control goroutine until ctx ends.
func (h *health) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			h.runner.Wait()
			return
		case <-h.due.ready:
			h.runner.Start(ctx, h.due.drain())
		case outcome := <-h.runner.Outcomes():
			h.daemon.driver.Do(ctx, func(now clock.Millis, _ *member.Machine) {
				h.monitor.Probed(now, outcome.ID(), outcome.Passed())
			})
		}
	}
}

// receive takes the findings about targets that ride on a peer's message.
func (h *health) receive(now clock.Millis, m *member.Message) {
	if reports, ok := targets.DecodeReports(m.Counts); ok {
		h.monitor.AddReports(now, reports)
	}
}

// tick asks for the probes that are due. Once in judgeInterval it judges the targets,
// tells the placer which ones not to use, and the peers what was found.
func (h *health) tick(now clock.Millis, m *member.Machine) {
	for _, probe := range h.monitor.Due(now) {
		h.due.push(probe)
	}
	if now-h.judged < judgeInterval {
		return
	}
	h.judged = now
	h.monitor.Evidence(now, h.daemon.placer.CollectEvidence())
	reports := h.monitor.Reports(now, member.MaximumCountsBytes/targets.ReportSize)
	m.SetCounts(targets.AppendReports(nil, reports))
	ejected, changed := h.monitor.Tick(now)
	if !changed {
		return
	}
	h.daemon.placer.SetHealth(now, ejected)
	h.record(ejected)
}

// record adds what changed to the audit trail.
func (h *health) record(ejected []flow.TargetID) {
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

func hostName(tables *table.Snapshot, id flow.TargetID) string {
	if tables != nil {
		if host, ok := tables.Host(id); ok {
			return host.Name()
		}
	}
	return "host without a table"
}
