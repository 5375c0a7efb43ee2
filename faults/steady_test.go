package faults

import (
	"testing"

	"github.com/almondflow/almondflow/clock"
)

// Load of the largest entry VMs that are in use: each owns 3,000 new flows per second and
// holds 300,000 flows.
const (
	steadyFlowsPerVM = 3_000 // new flows per second
	steadyFlowsHeld  = 300_000
	steadyDuration   = 15 * clock.Second
)

// BenchmarkSteadyControl measures the control traffic of a VM at the load of the largest
// entry VMs. Flows last longer than the run, so the number of held flows only grows.
func BenchmarkSteadyControl(b *testing.B) {
	for b.Loop() {
		s := newSimulation(marmaraConfig(*benchSeed))
		s.advance(warmUp)
		vms := len(s.platform.vms)
		fillDuration := clock.Millis(steadyFlowsHeld/steadyFlowsPerVM) * clock.Second * 2 / 5 // more than 2.5 VMs hold each flow
		count := int(fillDuration+steadyDuration) / int(clock.Second) * steadyFlowsPerVM * vms
		for i := range count {
			at := clock.Millis(i) * (fillDuration + steadyDuration) / clock.Millis(count)
			s.schedule(at, func() { s.startFlow(feed, clock.Hour, 20*clock.Second) })
		}
		s.advance(fillDuration)
		controlBefore := s.controlBytes()
		s.advance(steadyDuration)
		held := 0
		for _, v := range s.vms {
			held += v.node.FlowCount()
		}
		b.ReportMetric(float64(s.controlBytes()-controlBefore)/float64(vms)/float64(steadyDuration/clock.Second), "control_B/s")
		b.ReportMetric(float64(held)/float64(vms), "flows/vm")
		b.ReportMetric(float64(count)/float64(vms)/float64((fillDuration+steadyDuration)/clock.Second), "new_flows/s/vm")
		b.ReportMetric(float64(len(s.oracle.violations)), "violations")
	}
}
