package inband

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const fleetVMs = 50

// beliefAt returns how many requests a VM believes to be under way at a target.
func (f *loadFleet) beliefAt(vm *loadVM, id string) float64 { return vm.engine.byID[id].work().Busy }

// meanBeliefAt returns the mean of what the VMs but the first believe.
func (f *loadFleet) meanBeliefAt(id string) float64 {
	sum := 0.0
	for _, vm := range f.vms[1:] {
		sum += f.beliefAt(vm, id)
	}
	return sum / float64(len(f.vms)-1)
}

func TestKilledVMLeavesNoLoad(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(fleetVMs, fleetTargets, 5)
	f.occupy(f.vms[0], "t1", 40)
	f.run(6 * clock.Second)
	is.True(f.meanBeliefAt("t1") > 10) // the others know of its work
	f.vms[0].isDown = true
	f.run(4*clock.Second + maxTransit + sweepInterval) // a VM that sends nothing counts as alive for 4 s
	is.True(math.Abs(f.meanBeliefAt("t1")-f.truth("t1").Busy) < maxBeliefError)
}

func TestVMThatHearsNothingGoesByItsOwnWork(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(fleetVMs, fleetTargets, 6)
	f.run(3 * clock.Second)
	deaf := f.vms[0]
	f.isLost = func(_, to *loadVM) bool { return to == deaf }
	f.run(5 * clock.Second)
	for _, p := range f.targets {
		b := deaf.engine.byID[p.Target.ID]
		is.Equal(b.work(), b.ownWork().Scale(fleetVMs))
	}
	belief, _ := f.meanErrors()
	is.True(belief < maxBeliefError) // the others hear it
}

func TestPausedVMForgetsWhatItHeard(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(fleetVMs, fleetTargets, 7)
	f.run(6 * clock.Second)
	paused := f.vms[0]
	is.True(paused.engine.LoadReporters(f.now) > 0)
	paused.engine.ForgetLoad()
	is.Equal(paused.engine.LoadReporters(f.now), 0)
	b := paused.engine.byID["t1"]
	is.Equal(b.work(), b.ownWork().Scale(fleetVMs)) // before the next sweep
	paused.engine.Sweep(f.now)
	is.Equal(b.work(), b.ownWork().Scale(fleetVMs))
}

func TestTimeOfAPauseIsNotMeasured(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(1, 1, 8)
	f.rate = 20
	f.run(6 * clock.Second)
	is.True(f.truth("t0").Busy > 0)
	f.occupy(f.vms[0], "t0", 1) // a request that ends when the VM runs again
	f.now += 10 * clock.Second
	b := f.vms[0].engine.byID["t0"]
	e := f.vms[0].engine
	e.Sweep(f.now)
	is.Equal(b.meter.Average(0), load.Work{}) // neither the pause nor what was before it is of now
	is.True(!e.HasMeasuredLoad())
	is.Equal(len(e.TakeDomainReport(f.now).Pools), 0)
	busy := float64(b.meter.Busy())
	f.now += sweepInterval
	e.Sweep(f.now)
	is.True(e.HasMeasuredLoad())
	is.Equal(b.meter.Average(0).Busy, busy) // requests that went on through the whole window
}

// TestOneStaleReportMovesTheBeliefLittle has one VM say that a target has 20 requests while all others say that
// there are none. The belief may move by what it says, and by as much as its share in what was not heard.
func TestOneStaleReportMovesTheBeliefLittle(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(fleetVMs, fleetTargets, 9)
	f.rate = 0
	f.run(4 * clock.Second)
	vm := f.vms[0]
	b := vm.engine.byID["t1"]
	stale := load.Report{Targets: []load.TargetWork{{Tag: uint32(b.tag), Start: startBits(b.target), Work: load.Work{Busy: 20}}}}
	vm.engine.ReceiveLoad(f.now, f.address(f.vms[1]), "east", stale)
	vm.engine.Sweep(f.now)
	heard := vm.engine.load.heard.Weight(f.now)
	is.True(heard > 8)
	limit := 20 * (1 + (fleetVMs-1-heard)/(heard+1))
	is.True(b.work().Busy >= 10 && b.work().Busy <= limit)
	is.True(vm.engine.byID["t2"].work().Busy <= limit/fleetTargets)
	f.isLost = func(from, _ *loadVM) bool { return from == f.vms[1] }
	f.run(4 * clock.Second)
	is.Equal(b.work().Busy, 0.0)
}

func TestReportOfAnEarlierStartCountsForNothing(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(2, 2, 10)
	f.rate = 0
	f.run(clock.Second)
	b := f.vms[0].engine.byID["t1"]
	report := load.Report{Targets: []load.TargetWork{{Tag: uint32(b.tag), Start: startBits(b.target), Work: load.Work{Busy: 7}}}}
	f.vms[0].engine.ReceiveLoad(f.now, f.address(f.vms[1]), "east", report)
	f.vms[0].engine.Sweep(f.now)
	is.True(math.Abs(b.work().Busy-7) < 1e-9)
	restarted := *b.target
	restarted.StartedAtMS = 77777
	f.vms[0].engine.UpdateTargets([]Published{{Target: &restarted}})
	is.Equal(b.work().Busy, 0.0)
	f.vms[0].engine.Sweep(f.now)
	is.Equal(b.work().Busy, 0.0)
}

func TestBeliefOutlivesAChangeOfTheTargets(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(4, 6, 14)
	f.run(6 * clock.Second)
	e := f.vms[0].engine
	before, pools := f.beliefAt(f.vms[0], "t1"), e.poolOf("orders").domains()
	is.True(pools[0].Work.Busy > 1)
	e.ReplaceView(nil, f.targets)
	is.Equal(f.beliefAt(f.vms[0], "t1"), before)
	is.Equal(e.poolOf("orders").domains(), pools)
}

func TestVMsThatLeaveTakeTheirLoadWithThem(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(fleetVMs, fleetTargets, 11)
	f.run(6 * clock.Second)
	for _, vm := range f.vms[5:] {
		vm.isDown, vm.upAt = true, f.now-aliveTimeout // they say so
	}
	f.rate = 0
	f.run(500) // reports of those that left still count
	for _, vm := range f.vms[:5] {
		for _, p := range f.targets {
			is.True(f.beliefAt(vm, p.Target.ID) < 5*maxBeliefError) // four other VMs cannot have more
		}
	}
}

func TestWorkOfOtherDomainsIsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	f := newLoadFleet(1, 4, 12)
	f.rate = 0
	f.run(clock.Second)
	id := load.DomainPoolID{Service: "orders", Domain: "east"}
	news := load.Report{Pools: []load.PoolNews{
		{Pool: id.Hash(), Source: load.HashDomain("west"), Work: load.Work{Busy: 8, Finished: 100}},
		{Pool: id.Hash(), Source: load.HashDomain("north"), Work: load.Work{Busy: 99}}, // not its own
		{Pool: id.Hash(), Source: load.HashDomain("east"), Work: load.Work{Busy: 99}},
	}}
	f.vms[0].engine.ReceiveLoad(f.now, fleetAddress, "west", news)
	f.run(500)
	is.Equal(f.vms[0].engine.byID["t1"].work(), load.Work{Busy: 2, Finished: 25})
	is.Equal(f.vms[0].engine.LoadPools()[0].Work, load.Work{Busy: 8, Finished: 100})
	f.run(load.NewsLifetime)
	is.Equal(f.vms[0].engine.byID["t1"].work(), load.Work{})
}

func TestWorkAtOtherDomainsIsKnownByItsSum(t *testing.T) {
	is := is.New(t)
	e := New(Options{Domain: "west", Policy: Local{}, SharesLoad: true})
	e.ReplaceView(nil, []Published{
		{Target: &Target{ID: "t1", Service: "orders", Domain: "east", Slots: 2}},
		{Target: &Target{ID: "t2", Service: "orders", Domain: "east", Slots: 2}},
	})
	e.SetLocalVMs(2)
	pool := load.DomainPoolID{Service: "orders", Domain: "east"}.Hash()
	e.ReceiveLoad(100, fleetAddress, "west", load.Report{Remote: []load.PoolWork{{Pool: pool, Work: load.Work{Busy: 3}}}})
	e.ReceiveLoad(100, fleetAddress, "east", load.Report{Pools: []load.PoolNews{{Pool: pool, Source: load.HashDomain("east"), Work: load.Work{Busy: 5}, Age: 40}}})
	e.Sweep(250)
	is.Equal(e.byID["t1"].work(), load.Work{Busy: 4})
	is.Equal(e.LoadPools()[0].Work, load.Work{Busy: 8})
	is.Equal(e.LoadPools()[0].Age, clock.Millis(190))
	is.Equal(e.TakeDomainReport(250).Pools, []load.PoolNews{{Pool: pool, Source: load.HashDomain("west"), Work: load.Work{Busy: 3}}})
	is.Equal(e.TakeLoadReport(250).Pools, []load.PoolNews{{Pool: pool, Source: load.HashDomain("east"), Work: load.Work{Busy: 5}, Age: 190}})
}

// TestDecisionsAreAsBeforeWithoutSharedLoad has two engines place the same flows while one is told of load.
func TestDecisionsAreAsBeforeWithoutSharedLoad(t *testing.T) {
	is := is.New(t)
	f, told := newLoadFleet(1, 4, 13), newLoadFleet(1, 4, 13)
	for _, fleet := range []*loadFleet{f, told} {
		fleet.vms[0].engine.load.isShared = false
		fleet.rate = 200
	}
	for i := range 40 {
		b := told.vms[0].engine.byID["t1"]
		report := load.Report{Targets: []load.TargetWork{{Tag: uint32(b.tag), Start: startBits(b.target), Work: load.Work{Busy: float64(i)}}}}
		told.vms[0].engine.ReceiveLoad(told.now, fleetAddress, "east", report)
		f.run(100)
		told.run(100)
		is.Equal(f.vms[0].engine.Targets(), told.vms[0].engine.Targets())
	}
	is.Equal(len(told.vms[0].engine.TakeLoadReport(told.now).Targets), 0)
	is.Equal(told.vms[0].engine.LoadPools(), nil)
	is.Equal(told.vms[0].engine.LoadReporters(told.now), 0)
}

func TestNewsOfUnknownPoolsIsIgnored(t *testing.T) {
	is := is.New(t)
	e := newSharingEngine(servingTargets(1))
	known := load.PoolNews{Pool: load.DomainPoolID{Service: "orders", Domain: "east"}.Hash(), Source: load.HashDomain("west")}
	for i := range 1000 {
		e.ReceiveLoad(100, fleetAddress, "west", load.Report{Pools: []load.PoolNews{{Pool: uint32(i), Source: known.Source}}})
	}
	e.ReceiveLoad(100, fleetAddress, "west", load.Report{Pools: []load.PoolNews{known}})
	is.Equal(e.TakeLoadReport(100).Pools, []load.PoolNews{known})
}

// TestStartsAWholeSecondApartDiffer counts the numbers that tell 256 starts apart, each at a whole second.
func TestStartsAWholeSecondApartDiffer(t *testing.T) {
	is := is.New(t)
	numbers := map[uint8]bool{}
	for i := range 256 {
		numbers[startBits(&Target{StartedAtMS: 1000 * int64(i)})] = true
	}
	is.True(len(numbers) > 128)
}
