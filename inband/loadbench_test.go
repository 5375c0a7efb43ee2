package inband

import (
	"fmt"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// BenchmarkSweep sweeps a VM that has work at some of its targets and hears as many reports as a VM of a large
// failure domain does.
func BenchmarkSweep(b *testing.B) {
	for _, sharesLoad := range []bool{false, true} {
		for _, targets := range []int{30, 100, 300, 600} {
			b.Run(fmt.Sprintf("shares_load=%v/targets=%d", sharesLoad, targets), func(b *testing.B) {
				f := newLoadFleet(fleetVMs, targets, 1)
				f.vms[0].engine.load.isShared = sharesLoad
				f.run(5 * clock.Second)
				e := f.vms[0].engine
				b.ReportAllocs()
				for b.Loop() {
					e.Sweep(f.now)
				}
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
