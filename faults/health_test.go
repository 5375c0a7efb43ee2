package faults

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/targets"
)

// judgePeriod is how often a VM judges the health of targets.
const judgePeriod = 1 * clock.Second

// health is the daemon's judgment of targets with probes that are fakes.
type health struct {
	vm      *vm
	monitor *targets.Monitor
	judged  clock.Millis
}

func newHealth(v *vm) *health {
	return &health{vm: v, monitor: targets.New(v.id)}
}

// tick probes what is due and tells the placer which targets not to use.
func (h *health) tick(now clock.Millis) {
	for _, probe := range h.monitor.Due(now) {
		h.monitor.Probed(now, probe.ID(), h.probe(&probe))
	}
	if now-h.judged < judgePeriod {
		return
	}
	h.judged = now
	h.monitor.Evidence(now, h.vm.placer.CollectEvidence())
	reports := h.monitor.Reports(now, member.MaximumCountsBytes/targets.ReportSize)
	h.vm.machine.SetCounts(targets.AppendReports(nil, reports))
	if ejected, changed := h.monitor.Tick(now); changed {
		h.vm.placer.SetHealth(now, ejected)
	}
}

// probe answers as the target's health endpoint does, which may lie either way.
func (h *health) probe(p *targets.Probe) bool {
	t := h.vm.world.byTarget[p.Endpoint()]
	if t == nil || !h.vm.world.reaches(h.vm.domain, t.domain) {
		return false
	}
	return t.up != t.lies
}

// receive takes the findings that ride on a message.
func (h *health) receive(now clock.Millis, m *member.Message) {
	if reports, ok := targets.DecodeReports(m.Counts); ok {
		h.monitor.AddReports(now, reports)
	}
}

// lie makes the health endpoints of four serving hosts report failure, and that of a host
// that is dead report health.
func lyingHealth(w *world) {
	for _, t := range w.targets {
		switch t.host {
		case "b03", "b04", "b05", "b06":
			t.lies = true
		case "b01":
			t.lies, t.up = true, false
		}
	}
	w.after(40*clock.Second, func() {
		for _, t := range w.targets {
			t.lies = false
		}
	})
}
