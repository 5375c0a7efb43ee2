package entry

import (
	"context"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/table"
	"github.com/almondflow/almondflow/targets"
)

// health judges the targets for the control goroutine.
type health struct {
	daemon  *Daemon
	monitor *targets.Monitor
	runner  *targets.Runner
	ejected map[flow.TargetID]bool
}

func newHealth(d *Daemon) *health {
	return &health{
		daemon:  d,
		monitor: targets.New(d.self),
		runner:  targets.NewRunner(&targets.ConnectProber{}),
		ejected: make(map[flow.TargetID]bool),
	}
}

// tick starts probes that are due and tells the placer which targets not to use.
func (h *health) tick(ctx context.Context, now clock.Millis) {
	h.monitor.Evidence(now, h.daemon.placer.CollectEvidence())
	h.runner.Start(ctx, h.monitor.Due(now))
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
	current := make(map[flow.TargetID]bool, len(ejected))
	for _, id := range ejected {
		current[id] = true
		if !h.ejected[id] {
			h.daemon.trail.Add(operator.ChangedTarget, hostName(tables, id), "used", "ejected", "probes and flows")
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
