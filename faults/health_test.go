package faults

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/targets"
)

// evaluationPeriod is how often a VM evaluates the health of targets.
const evaluationPeriod = 1 * clock.Second

// healthMonitor runs the target monitor of a daemon with simulated probes.
type healthMonitor struct {
	vm          *vm
	monitor     *targets.Monitor
	evaluatedAt clock.Millis
}

func newHealthMonitor(v *vm) *healthMonitor {
	return &healthMonitor{vm: v, monitor: targets.New(v.id)}
}

// tick runs the probes that are due and passes ejected targets to the placer.
func (h *healthMonitor) tick(now clock.Millis) {
	for _, probe := range h.monitor.TakeDueProbes(now) {
		h.monitor.AddProbeOutcome(now, probe.ID(), h.probe(&probe))
	}
	if now-h.evaluatedAt < evaluationPeriod {
		return
	}
	h.evaluatedAt = now
	h.monitor.AddEvidence(now, h.vm.placer.CollectEvidence())
	reports := h.monitor.Reports(now, member.MaxTargetReportBytes/targets.ReportSize)
	h.vm.membership.SetTargetReports(targets.AppendReports(nil, reports))
	if ejected, changed := h.monitor.Tick(now); changed {
		h.vm.placer.SetEjected(now, ejected)
	}
}

// probe reports whether the target's health endpoint is reachable and reports health, which
// may be wrong.
func (h *healthMonitor) probe(p *targets.Probe) bool {
	t := h.vm.simulation.targetByEndpoint[p.Endpoint()]
	if t == nil || !h.vm.simulation.connected(h.vm.domain, t.domain) {
		return false
	}
	return t.up != t.invertsHealth
}

// receive merges the target reports that a membership message carries.
func (h *healthMonitor) receive(now clock.Millis, m *member.Message) {
	if reports, ok := targets.DecodeReports(m.TargetReports); ok {
		h.monitor.AddReports(now, reports)
	}
}

// invertHealth makes the health endpoints of four serving hosts report failure, and that of
// a dead host report health, for 40 s.
func invertHealth(s *simulation) {
	for _, t := range s.targets {
		switch t.host {
		case "b03", "b04", "b05", "b06":
			t.invertsHealth = true
		case "b01":
			t.invertsHealth, t.up = true, false
		}
	}
	s.schedule(40*clock.Second, func() {
		for _, t := range s.targets {
			t.invertsHealth = false
		}
	})
}
