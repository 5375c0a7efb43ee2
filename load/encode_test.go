package load_test

import (
	"bytes"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const maxBytes = 640

// busyReport returns a report of many targets and pools, most work first.
func busyReport(targets, pools int) *load.Report {
	r := &load.Report{}
	for i := range targets {
		r.Targets = append(r.Targets, load.TargetWork{Tag: uint32(i + 1), Start: uint8(i), Work: load.Work{Busy: float64(targets - i), Finished: 1e4, Flows: 1e5}})
	}
	for i := range pools {
		r.Remote = append(r.Remote, load.PoolWork{Pool: uint32(i), Work: load.Work{Busy: 1e3}})
		r.Pools = append(r.Pools, load.PoolNews{Pool: uint32(i), Source: 7, Work: load.Work{Flows: 1e6}, Age: 1230})
	}
	return r
}

func TestReportsAreRead(t *testing.T) {
	tests := []struct {
		name   string
		report *load.Report
	}{
		{"empty", &load.Report{}},
		{"targets only", busyReport(5, 0)},
		{"pools only", busyReport(0, 3)},
		{"both", busyReport(10, 4)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			decoded, err := load.Decode(load.Encode(tt.report, maxBytes))
			is.NoErr(err)
			is.Equal(&decoded, tt.report)
		})
	}
}

// TestNewsGrowsNoYoungerOnItsWay relays news through a chain of VMs, each of which keeps it for a while.
func TestNewsGrowsNoYoungerOnItsWay(t *testing.T) {
	for kept := range clock.Millis(25) {
		is := is.New(t)
		news := load.PoolNews{Pool: 1, Source: 7, Work: load.Work{Busy: 1}, Age: 3}
		for range 20 {
			before := news.Age + kept
			report, err := load.Decode(load.Encode(&load.Report{Pools: []load.PoolNews{{Pool: 1, Source: 7, Work: news.Work, Age: before}}}, maxBytes))
			is.NoErr(err)
			news = report.Pools[0]
			is.True(news.Age >= before)
		}
	}
}

func TestReportsAreLimited(t *testing.T) {
	for _, pools := range []int{0, 8, 300} {
		is := is.New(t)
		report := busyReport(300, pools)
		data := load.Encode(report, maxBytes)
		is.True(len(data) <= maxBytes)
		decoded, err := load.Decode(data)
		is.NoErr(err)
		is.True(len(decoded.Targets) > 0)
		is.Equal(decoded.Targets, report.Targets[:len(decoded.Targets)]) // those with the most work
		is.True(pools == 0 || len(decoded.Pools) > 0)
	}
}

func TestNumbersAreLimited(t *testing.T) {
	is := is.New(t)
	report := &load.Report{Targets: []load.TargetWork{
		{Work: load.Work{Busy: math.Inf(1), Finished: -5, Flows: 1e300}},
	}}
	decoded, err := load.Decode(load.Encode(report, maxBytes))
	is.NoErr(err)
	is.True(isPlausible(decoded.Targets[0].Work))
	is.Equal(decoded.Targets[0].Work.Finished, 0.0)
}

// isPlausible reports whether the numbers are finite, not negative and not huge.
func isPlausible(w load.Work) bool {
	const limit = 2e9
	for _, value := range []float64{w.Busy, w.Finished, w.Flows} {
		if !(value >= 0 && value <= limit) {
			return false
		}
	}
	return true
}

func FuzzDecode(f *testing.F) {
	f.Add(load.Encode(busyReport(3, 2), maxBytes))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		report, err := load.Decode(data)
		if err != nil {
			return
		}
		for _, target := range report.Targets {
			is.True(isPlausible(target.Work))
		}
		for _, p := range report.Remote {
			is.True(isPlausible(p.Work))
		}
		for _, p := range report.Pools {
			is.True(isPlausible(p.Work) && p.Age >= 0)
		}
		again, err := load.Decode(load.Encode(&report, 4*len(data)+64))
		is.NoErr(err)
		is.Equal(len(again.Targets), len(report.Targets))
	})
}

func TestCorruptReportsAreRejected(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	data := load.Encode(busyReport(5, 2), maxBytes)
	for range 2000 {
		corrupt := bytes.Clone(data)
		corrupt[random.IntN(len(corrupt))] ^= byte(1 << random.IntN(8))
		report, err := load.Decode(corrupt[:1+random.IntN(len(corrupt))])
		for _, target := range report.Targets {
			is.True(err == nil && isPlausible(target.Work))
		}
	}
	for _, data := range [][]byte{{}, {5}, {0}, {0, 0, 1, 2}, {0, 0, 1, 2, 3, 4, 5, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0, 0}} {
		_, err := load.Decode(data)
		is.True(err != nil)
	}
}

func TestReportsThatNameATargetTwiceAreRejected(t *testing.T) {
	is := is.New(t)
	report := &load.Report{Targets: []load.TargetWork{{Tag: 1}, {Tag: 2}, {Tag: 1, Start: 3}}}
	_, err := load.Decode(load.Encode(report, maxBytes))
	is.True(err != nil)
	// Two pools may share a hash.
	report = &load.Report{Remote: []load.PoolWork{{Pool: 1}, {Pool: 1}}, Pools: []load.PoolNews{{Pool: 1}, {Pool: 1}}}
	_, err = load.Decode(load.Encode(report, maxBytes))
	is.NoErr(err)
}

func TestUnusedRoomHoldsSumsOfPools(t *testing.T) {
	is := is.New(t)
	half, err := load.Decode(load.Encode(busyReport(300, 60), maxBytes))
	is.NoErr(err)
	report := busyReport(0, 60)
	report.Remote = nil
	whole, err := load.Decode(load.Encode(report, maxBytes))
	is.NoErr(err)
	is.True(len(whole.Pools) >= 2*len(half.Pools)-1)
	is.Equal(whole.Pools, report.Pools[:len(whole.Pools)])
}
