package spread_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/spread"
)

// capacity is the number of requests per second that the targets of one domain finish.
const capacity = targetsPerDomain * slots * 1000 / serviceTime

// sharedLoad chooses by Cost and Spill alone, and Spill alone decides the domain. How inband.Shared combines them
// with what it sees itself is tested there.
type sharedLoad struct{ takesCheapest bool }

func (p sharedLoad) choose(w *world, v int) int {
	m := w.vms[v]
	leaves := w.random.Float64() < m.spill.Share()
	return w.cheapest(func(i int) float64 {
		target := w.targets[i]
		t := spread.Target{
			Work: w.believed(v, i), Slots: slots, MaxConnections: target.maxConnections,
			Slowdown: m.paces[i].Slowdown(w.now, m.serviceTime),
		}
		draw := w.random.ExpFloat64()
		if p.takesCheapest {
			draw = 1
		}
		cost := t.Cost(max(1, m.responseTime), vmsPerDomain*target.busyOf[v], draw)
		if t.IsFull() || leaves == (target.domain == m.domain) {
			cost += 1e6
		}
		return cost
	})
}

// ownCounts chooses as inband.Local does, by the VM's own counts alone.
type ownCounts struct{}

func (ownCounts) choose(w *world, v int) int {
	const remoteWeight = 10.0
	return w.cheapest(func(i int) float64 {
		cost := vmsPerDomain * w.targets[i].busyOf[v]
		if w.targets[i].domain != w.vms[v].domain {
			cost += remoteWeight
		}
		return cost
	})
}

// cheapest returns the cheapest target, one of them at random.
func (w *world) cheapest(cost func(int) float64) int {
	best, lowest := -1, 0.0
	for _, i := range w.random.Perm(len(w.targets)) {
		if c := cost(i); best < 0 || c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

// slowDown makes a quarter of the targets five times slower.
func (w *world) slowDown() {
	for i := 0; i < len(w.targets); i += 4 {
		w.targets[i].slowdown = 5
	}
}

// pauseQuarter makes a quarter of the VMs stand still. They report nothing, and the others get their clients.
func (w *world) pauseQuarter() {
	for v := 0; v < len(w.vms); v += 4 {
		w.vms[v].isPaused = true
	}
}

// fillQuarter lets a quarter of the targets hold idle flows, as many as they may.
func (w *world) fillQuarter() {
	for i := 0; i < len(w.targets); i += 4 {
		w.targets[i].maxConnections, w.targets[i].idle = 100, 100
	}
}

// play puts a load on a world that was calm before, and counts what comes after a time of adjustment.
func play(p policy, load [domains]float64, disturb func(*world)) *world {
	const calmTime, adjustTime, countedTime = clock.Second, 2 * clock.Second, 6 * clock.Second
	w := newWorld(p, [domains]float64{0.3 * capacity, 0.3 * capacity})
	w.run(calmTime)
	disturb(w)
	w.rates = [domains]float64{load[0] * capacity, load[1] * capacity}
	w.run(adjustTime)
	w.forget()
	w.run(countedTime)
	return w
}

func undisturbed(*world) {}

// maxShed is the share of the requests of a domain's callers that targets may shed while the targets of all
// domains together have room: 98% are served.
const maxShed = 0.02

// TestFewRequestsAreShedWhileTargetsHaveRoom guards callers against targets that shed requests while others have free slots.
func TestFewRequestsAreShedWhileTargetsHaveRoom(t *testing.T) {
	tests := []struct {
		name      string
		load      [domains]float64 // requests in relation to the capacity of a domain, while no target is slow
		disturb   func(*world)
		isLocalOK bool // own counts alone hold the bounds
	}{
		{"nothing uneven", [domains]float64{0.6, 0.6}, undisturbed, true},
		{"one domain presses", [domains]float64{1.3, 0.4}, undisturbed, false},
		{"one domain presses hard", [domains]float64{1.5, 0.3}, undisturbed, false},
		{"unequal targets", [domains]float64{0.5, 0.5}, (*world).slowDown, false},
		{"one domain presses on unequal targets", [domains]float64{0.95, 0.4}, (*world).slowDown, false},
		{"one domain presses while VMs stand still", [domains]float64{1.3, 0.4}, (*world).pauseQuarter, false},
		{"one domain presses while half of the news is lost", [domains]float64{1.3, 0.4}, func(w *world) { w.newsLoss = 0.5 }, false},
		{"unequal targets while half of the news is lost", [domains]float64{0.5, 0.5}, func(w *world) {
			w.newsLoss = 0.5
			w.slowDown()
		}, false},
		{"no news", [domains]float64{0.7, 0.7}, func(w *world) { w.newsLoss = 1 }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			isHeld := func(w *world) bool { return w.shedShare(0) <= maxShed && w.shedShare(1) <= maxShed }
			shared, local := play(sharedLoad{}, tt.load, tt.disturb), play(ownCounts{}, tt.load, tt.disturb)
			t.Logf("shed by domain: %.3f %.3f, by own counts %.3f %.3f", shared.shedShare(0), shared.shedShare(1), local.shedShare(0), local.shedShare(1))
			is.True(isHeld(shared))
			is.Equal(isHeld(local), tt.isLocalOK)
		})
	}
}

// slowShare is the share of what all targets finish that slow ones finish if all are busy.
const slowShare = 0.25 * 0.2 / (0.25*0.2 + 0.75)

func isSlow(i int) bool { return i%4 == 0 }

// TestSlowTargetsMakeNoCallerWait guards callers against slow targets while others have room: 98% are answered within the
// target latency, though most requests at a slow target take longer, whatever it has under way.
func TestSlowTargetsMakeNoCallerWait(t *testing.T) {
	const maxLate = 0.02
	for _, load := range []float64{0.4, 0.5} {
		is := is.New(t)
		loads := [domains]float64{load, load}
		shared, local := play(sharedLoad{}, loads, (*world).slowDown), play(ownCounts{}, loads, (*world).slowDown)
		t.Logf("load %.1f: late or shed by domain: %.3f %.3f, by own counts %.3f %.3f", load,
			shared.lateShare(0), shared.lateShare(1), local.lateShare(0), local.lateShare(1))
		is.True(max(shared.lateShare(0), shared.lateShare(1)) <= maxLate)
		is.True(max(local.lateShare(0), local.lateShare(1)) > maxLate)
		is.True(shared.shareOf(isSlow) <= slowShare)
	}
}

// TestSlowTargetsGetWhatTheyFinishWhenNeeded guards against room that stays unused while the usual targets are busy. The share
// of slow targets stays within a factor of 2 of what they can finish.
func TestSlowTargetsGetWhatTheyFinishWhenNeeded(t *testing.T) {
	const factor = 2.0
	is := is.New(t)
	w := play(sharedLoad{}, [domains]float64{0.7, 0.7}, (*world).slowDown)
	is.True(w.shareOf(isSlow) <= factor*slowShare)
	is.True(w.shareOf(isSlow) >= slowShare/factor)
	is.True(max(w.shedShare(0), w.shedShare(1)) <= maxShed)
	is.True(play(ownCounts{}, [domains]float64{0.4, 0.4}, (*world).slowDown).shareOf(isSlow) > factor*slowShare)
}

// TestRecoveredTargetsGetTheirPart guards against targets that stay without flows after they have recovered: 10 s later they
// get at least half of what the others do.
func TestRecoveredTargetsGetTheirPart(t *testing.T) {
	is := is.New(t)
	w := play(sharedLoad{}, [domains]float64{0.4, 0.4}, (*world).slowDown)
	for _, target := range w.targets {
		target.slowdown = 1
	}
	w.run(10 * clock.Second)
	w.forget()
	w.run(4 * clock.Second)
	part := w.shareOf(isSlow)
	is.True(part/0.25 >= 0.5*(1-part)/0.75)
}

// TestFewRequestsAreShedAfterADomainBeginsToPress guards callers against a share that rises only with late news: a domain presses
// for 9 s after a calm time.
func TestFewRequestsAreShedAfterADomainBeginsToPress(t *testing.T) {
	for _, newsLoss := range []float64{0, 0.5, 0.75} {
		is := is.New(t)
		w := newWorld(sharedLoad{}, [domains]float64{0.3 * capacity, 0.3 * capacity})
		w.newsLoss = newsLoss
		w.run(clock.Second)
		w.rates = [domains]float64{1.3 * capacity, 0.4 * capacity}
		w.forget()
		w.run(9 * clock.Second)
		t.Logf("%.2f of the news lost: shed by domain: %.3f %.3f", newsLoss, w.shedShare(0), w.shedShare(1))
		is.True(max(w.shedShare(0), w.shedShare(1)) <= maxShed)
	}
}

// TestEvenLoadStaysAtHome guards against a share that is above zero though no flow needs to cross domains.
func TestEvenLoadStaysAtHome(t *testing.T) {
	is := is.New(t)
	is.Equal(play(sharedLoad{}, [domains]float64{0.6, 0.6}, undisturbed).crossed, 0)
	w := play(sharedLoad{}, [domains]float64{1.3, 0.4}, undisturbed)
	is.True(w.crossed > 0)
	w.rates = [domains]float64{0.6 * capacity, 0.6 * capacity}
	w.run(3 * clock.Second)
	w.forget()
	w.run(clock.Second)
	is.Equal(w.crossed, 0) // it ends with the pressure
}

// TestSpillDoesNotSwing guards against a share that alternates between all and nothing, because the news of
// its effect is late. In each half second it is within half of the mean, and the mean is at most one and a
// half times what is missing.
func TestSpillDoesNotSwing(t *testing.T) {
	is := is.New(t)
	const surplus, intervals, perSecond = 0.3, 12, 2
	w := play(sharedLoad{}, [domains]float64{1 + surplus, 0.4}, undisturbed)
	var crossed []float64
	mean := 0.0
	for range intervals {
		w.crossed = 0
		w.run(clock.Second / perSecond)
		crossed = append(crossed, float64(w.crossed))
		mean += float64(w.crossed) / intervals
	}
	is.True(mean <= 1.5*surplus*capacity/perSecond)
	is.True(slices.Min(crossed) >= 0.5*mean)
	is.True(slices.Max(crossed) <= 1.5*mean)
}

// TestSameNewsSpreadsFlows guards against VMs that all choose the target that looks best to all of them.
func TestSameNewsSpreadsFlows(t *testing.T) {
	is := is.New(t)
	load := [domains]float64{0.6, 0.6}
	is.True(play(sharedLoad{}, load, undisturbed).shedShare(0) <= maxShed)
	is.True(play(sharedLoad{takesCheapest: true}, load, undisturbed).shedShare(0) > maxShed)
}

// TestStaleIdleReportDoesNotAttractAllFlows guards against a target that all VMs take for idle, because of one report that is old.
func TestStaleIdleReportDoesNotAttractAllFlows(t *testing.T) {
	is := is.New(t)
	isStale := func(i int) bool { return i == 0 }
	share := func(p policy) float64 {
		return play(p, [domains]float64{0.6, 0.6}, func(w *world) { w.isStale = isStale }).shareOf(isStale)
	}
	const limit = 1.5 / (domains * targetsPerDomain)
	is.True(share(sharedLoad{}) <= limit)
	is.True(share(sharedLoad{takesCheapest: true}) > limit)
}

// TestFullTargetsGetNoFlowsWhileOthersHaveRoom guards against flows to targets that hold as many as they may while others have room.
func TestFullTargetsGetNoFlowsWhileOthersHaveRoom(t *testing.T) {
	is := is.New(t)
	load := [domains]float64{0.5, 0.5}
	is.Equal(play(sharedLoad{}, load, (*world).fillQuarter).rejected, 0)
	is.True(play(ownCounts{}, load, (*world).fillQuarter).rejected > 0)
}
