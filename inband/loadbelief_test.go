package inband

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
)

// maxBeliefError is how far the belief about a target may be from the truth, in requests under way, in the mean
// over VMs and targets. One request is one place in a target's queue: what a caller waits for it is at most one
// request's time.
const maxBeliefError = 1.0

const fleetTargets = 30

// beliefErrors returns the mean error of a VM's belief, and that of this VM's own work times the number of VMs.
func (f *loadFleet) beliefErrors(vm *loadVM) (belief, ownTimesVMs float64) {
	for _, p := range f.targets {
		b, truth := vm.engine.byID[p.Target.ID], f.truth(p.Target.ID).Busy
		belief += math.Abs(b.work().Busy - truth)
		ownTimesVMs += math.Abs(b.ownWork().Busy*float64(f.alive()) - truth)
	}
	return belief / float64(len(f.targets)), ownTimesVMs / float64(len(f.targets))
}

// meanErrors returns the means of beliefErrors over the VMs that are up.
func (f *loadFleet) meanErrors() (belief, ownTimesVMs float64) {
	for _, vm := range f.vms {
		if !vm.isDown {
			own, naive := f.beliefErrors(vm)
			belief, ownTimesVMs = belief+own/float64(f.alive()), ownTimesVMs+naive/float64(f.alive())
		}
	}
	return belief, ownTimesVMs
}

func TestBeliefFollowsTheWorkOfAllVMs(t *testing.T) {
	oneIsSlow := func(id string) clock.Millis {
		if id == "t0" {
			return 400
		}
		return 50
	}
	tests := []struct {
		name    string
		vms     int
		prepare func(f *loadFleet)
		disturb func(f *loadFleet)
	}{
		{"few VMs", 4, nil, nil},
		{"many VMs", 50, nil, nil},
		{"one slow target", 50, func(f *loadFleet) { f.serviceMS = oneIsSlow }, nil},
		{"half of the messages lost", 50, func(f *loadFleet) {
			f.isLost = func(_, _ *loadVM) bool { return f.random.IntN(2) == 0 }
		}, nil},
		{"half of the VMs killed", 50, nil, func(f *loadFleet) {
			for _, vm := range f.vms[25:] {
				vm.isDown = true
			}
		}},
		{"a VM with much work killed", 50, func(f *loadFleet) { f.occupy(f.vms[0], "t1", 40) }, func(f *loadFleet) { f.vms[0].isDown = true }},
		{"a VM paused, and its reports late", 50, nil, func(f *loadFleet) {
			f.vms[0].isDown = true
			f.run(3 * clock.Second)
			f.vms[0].isDown = false
			f.vms[0].engine.ForgetLoad()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newLoadFleet(tt.vms, fleetTargets, 3)
			if tt.prepare != nil {
				tt.prepare(f)
			}
			f.run(6 * clock.Second)
			if tt.disturb != nil {
				tt.disturb(f)
			}
			f.run(5 * clock.Second)
			belief, ownTimesVMs := f.meanErrors()
			t.Logf("mean error %.2f requests, of own work times VMs %.2f", belief, ownTimesVMs)
			is.True(belief < maxBeliefError)
			if tt.vms > 4 {
				is.True(ownTimesVMs > maxBeliefError) // what VMs assumed before they told each other
			}
		})
	}
}

// TestBeliefFollowsTheEndOfABurst has requests take longer and longer for 4 s, as in a queue, so that hundreds are
// under way, and then as long as before. As long after that as a killed VM counts as alive, the belief in the sum
// may be off by maxBeliefError a target.
func TestBeliefFollowsTheEndOfABurst(t *testing.T) {
	const start, end = 6 * clock.Second, 10 * clock.Second
	for _, vms := range []int{20, 50} {
		is := is.New(t)
		f := newLoadFleet(vms, fleetTargets, 3)
		f.rate = 600
		f.serviceMS = func(string) clock.Millis {
			if f.now > start && f.now < end {
				return min(1200, 50+(f.now-start)/2)
			}
			return 50
		}
		f.run(end)
		is.True(f.truthOfAll() > 10*fleetTargets) // the load of the burst
		for f.now < end+4*clock.Second {
			f.run(clock.Second)
			t.Logf("%d VMs, %d ms after the burst: %.0f requests, %.0f believed", vms, f.now-end, f.truthOfAll(), f.meanBeliefOfAll())
		}
		is.True(math.Abs(f.meanBeliefOfAll()-f.truthOfAll()) < maxBeliefError*fleetTargets)
	}
}

// truthOfAll returns how many requests are under way now.
func (f *loadFleet) truthOfAll() float64 {
	sum := 0
	for _, vm := range f.vms {
		sum += vm.engine.busyRequests()
	}
	return float64(sum)
}

// meanBeliefOfAll returns how many requests VMs believe to be under way, in the mean.
func (f *loadFleet) meanBeliefOfAll() float64 {
	sum := 0.0
	for _, vm := range f.vms {
		sum += vm.engine.LoadPools()[0].Work.Busy
	}
	return sum / float64(len(f.vms))
}

// TestSlowTargetLooksFuller has one target take eight times as long as the others. The belief in its work must be
// nearer to the truth than to the mean of all targets.
func TestSlowTargetLooksFuller(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(fleetVMs, fleetTargets, 3)
	f.serviceMS = func(id string) clock.Millis {
		if id == "t0" {
			return 400
		}
		return 50
	}
	f.run(11 * clock.Second)
	truth, mean, belief := f.truth("t0").Busy, f.truthOfAll()/fleetTargets, f.meanBeliefAt("t0")
	t.Logf("%.1f requests, %.1f believed, %.1f in the mean of all targets", truth, belief, mean)
	is.True(truth-mean > maxBeliefError)
	is.True(math.Abs(belief-truth) < math.Abs(belief-mean))
}
