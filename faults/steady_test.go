package faults

import (
	"testing"

	"github.com/almondflow/almondflow/clock"
)

// Load of the largest entry VMs of today: each owns 3,000 new flows a second and holds
// 300,000 flows.
const (
	steadyFlowsPerVM = 3_000 // a second
	steadyHeld       = 300_000
	steadyMeasured   = 15 * clock.Second
)

// BenchmarkSteadyControl measures the control traffic of a VM at the largest load of today.
// Flows last longer than the run, so that what is held only grows.
func BenchmarkSteadyControl(b *testing.B) {
	for b.Loop() {
		w := newWorld(marmara(*benchSeed))
		w.run(warmUp)
		vms := len(w.platform.vms)
		filling := clock.Millis(steadyHeld/steadyFlowsPerVM) * clock.Second * 2 / 5 // each flow is held more than 2.5 times
		count := int(filling+steadyMeasured) / int(clock.Second) * steadyFlowsPerVM * vms
		for i := range count {
			at := clock.Millis(i) * (filling + steadyMeasured) / clock.Millis(count)
			w.after(at, func() { w.start(feed, clock.Hour, 20*clock.Second) })
		}
		w.run(filling)
		before := w.controlBytes()
		w.run(steadyMeasured)
		held := 0
		for _, v := range w.vms {
			held += v.node.Flows()
		}
		b.ReportMetric(float64(w.controlBytes()-before)/float64(vms)/float64(steadyMeasured/clock.Second), "control_B/s")
		b.ReportMetric(float64(held)/float64(vms), "flows/vm")
		b.ReportMetric(float64(count)/float64(vms)/float64((filling+steadyMeasured)/clock.Second), "new_flows/s/vm")
		b.ReportMetric(float64(len(w.oracle.violations)), "violations")
	}
}
