package inband

import (
	"fmt"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// requestsPerVM is the load of each VM in benchmarks, in requests per second.
const requestsPerVM = 50

// BenchmarkSweep sweeps a VM that has work at targets of its failure domain and hears other VMs, and shows how
// large its reports are.
func BenchmarkSweep(b *testing.B) {
	for _, size := range []struct{ vms, targets int }{{30, 100}, {100, 300}, {300, 1000}, {300, 600}} {
		for _, sharesLoad := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/targets=%d/shares_load=%v", size.vms, size.targets, sharesLoad), func(b *testing.B) {
				f := newLoadFleet(size.vms, size.targets, 1)
				f.rate = float64(requestsPerVM * size.vms)
				f.vms[0].engine.load.isShared = sharesLoad
				f.run(5 * clock.Second)
				e := f.vms[0].engine
				report := e.TakeLoadReport(f.now)
				b.ReportAllocs()
				for b.Loop() {
					e.Sweep(f.now)
				}
				b.ReportMetric(float64(len(load.Encode(&report, reportBytes))), "B/report")
				b.ReportMetric(float64(e.LoadReporters(f.now)), "reporters")
			})
		}
	}
}

// BenchmarkReport makes, encodes, decodes and takes in a report.
func BenchmarkReport(b *testing.B) {
	f := newLoadFleet(fleetVMs, 100, 1)
	f.run(5 * clock.Second)
	b.ReportAllocs()
	for b.Loop() {
		report := f.vms[0].engine.TakeLoadReport(f.now)
		decoded, err := load.Decode(load.Encode(&report, reportBytes))
		if err != nil {
			b.Fatal(err)
		}
		f.vms[1].engine.ReceiveLoad(f.now, f.address(f.vms[0]), "east", decoded)
	}
}

// BenchmarkSweepOfManyPools sweeps a VM that knows many pools and has work at few.
func BenchmarkSweepOfManyPools(b *testing.B) {
	for _, pools := range []int{1000, 10000, 99000} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			f := newLoadFleet(2, 100, 1)
			all := f.targets
			for i := range pools {
				all = append(all, Published{Target: &Target{ID: fmt.Sprintf("other-%d", i), Service: fmt.Sprintf("s%d", i), Domain: "west", Slots: 2}})
			}
			f.vms[0].engine.ReplaceView(nil, all)
			f.run(3 * clock.Second)
			for b.Loop() {
				f.vms[0].engine.Sweep(f.now)
			}
		})
	}
}

// BenchmarkSweepOfManyFlows sweeps a VM that has open flows in which nothing happens.
func BenchmarkSweepOfManyFlows(b *testing.B) {
	for _, flows := range []int{1000, 10000, 60000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			e := routedEngine(servingTargets(100), flows, 0)
			for i := range flows {
				p := openingOf(i)
				e.Handle(1, &p)
			}
			for b.Loop() {
				e.Sweep(sweepInterval)
			}
		})
	}
}
