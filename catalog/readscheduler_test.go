package catalog_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

func newReadScheduler() *catalog.ReadScheduler {
	return catalog.NewReadScheduler(rand.New(rand.NewPCG(1, 1)))
}

func TestFirstReadIsFullAndImmediate(t *testing.T) {
	is := is.New(t)
	r := newReadScheduler()
	is.True(r.NeedsFullRead())
	is.Equal(r.NextRead(0), clock.Millis(0))
}

// No other VM is due while the VM of rank 0 reads and sends its view. If it stops, the next one
// reads early enough that leaving targets get no new flow after 3 s.
func TestRankZeroReadsFirst(t *testing.T) {
	is := is.New(t)
	var due []clock.Millis
	for rank := range 11 {
		r := newReadScheduler()
		r.SetRank(rank, 100)
		r.RecordSuccess()
		due = append(due, r.NextRead(1000))
	}
	is.Equal(due[0], 1900*clock.Millisecond)
	for rank := 1; rank < len(due); rank++ {
		is.True(due[rank] > due[0])
		is.True(due[rank]-1000 < 2500) // a leaving target must get no flow after 3 s
	}
}

// Guards against a new route that is refused too late by a VM that found no other one, as all seeds
// are stale (review/5): it assumed a rank of up to 18 for five seconds, and nobody sent it a view.
func TestLoneVMReadsInTime(t *testing.T) {
	is := is.New(t)
	for rank := range 400 {
		r := catalog.NewReadScheduler(rand.New(rand.NewPCG(uint64(rank), 1)))
		r.SetRank(rank, 1)
		r.RecordSuccess()
		is.True(r.NextRead(1000)-1000 < 2500) // new tables must be in force after 3 s
	}
}

// If the VM of rank 0 sends no view because the store answers slowly, 100 VMs must not read at
// once (bench kinarez-ist-grown trouble-2: 85 calls within one second of a slow store). The view
// of the VM of rank 1 arrives within about 300 ms.
func TestLateReaderIsFollowedByFew(t *testing.T) {
	is := is.New(t)
	const vms, arrival = 100, 300 * clock.Millisecond
	first := clock.Millis(0)
	calls := 0
	for rank := 1; rank < vms; rank++ {
		r := catalog.NewReadScheduler(rand.New(rand.NewPCG(uint64(rank), 1)))
		r.SetRank(rank, vms)
		r.RecordSuccess()
		due := r.NextRead(1000)
		if rank == 1 {
			first = due
		}
		if due < first+arrival {
			calls++
		}
	}
	is.True(calls <= vms/10)
}

// Failed reads are retried at growing intervals until one succeeds.
func TestFailedReadsBackOff(t *testing.T) {
	is := is.New(t)
	r := newReadScheduler()
	r.RecordSuccess()
	now, calls := clock.Millis(0), 0
	for now < 10*clock.Second {
		due := max(r.NextRead(0), now+1)
		now = due
		r.RecordFailure(now)
		calls++
	}
	is.True(calls < 15)
	r.RecordSuccess()
	is.Equal(r.NextRead(now), now+900)
}

// 100 VMs must not keep calling a store that is down (bench kinarez-ist-grown trouble-1: 800
// failed calls in 7 s). A VM without a view calls more often, because it cannot serve clients.
func TestBackoffGrowsWithNumberOfVMs(t *testing.T) {
	tests := []struct {
		name     string
		rank     int
		prepare  func(r *catalog.ReadScheduler)
		maxCalls int // in 10 s
	}{
		{"rank 0", 0, func(r *catalog.ReadScheduler) { r.RecordSuccess() }, 15},
		{"rank 50", 50, func(r *catalog.ReadScheduler) { r.RecordSuccess() }, 3},
		{"rank 50, starting", 50, func(*catalog.ReadScheduler) {}, 15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newReadScheduler()
			r.SetRank(tt.rank, 100)
			tt.prepare(r)
			calls := 0
			for now := clock.Millis(0); now < 10*clock.Second; calls++ {
				now = max(r.NextRead(0), now+1)
				r.RecordFailure(now)
			}
			is.True(calls > 0)
			is.True(calls <= tt.maxCalls)
		})
	}
}

func TestRequiredFullReadIsImmediate(t *testing.T) {
	is := is.New(t)
	r := newReadScheduler()
	r.RecordSuccess()
	r.RequireFullRead()
	is.True(r.NeedsFullRead())
	is.Equal(r.NextRead(5000), clock.Millis(0))
}

// The monotonic clock stops while the machine is paused, so a stale view looks current.
func TestPauseCausesImmediateRead(t *testing.T) {
	is := is.New(t)
	r := newReadScheduler()
	r.RecordSuccess()
	r.RecordPause()
	is.Equal(r.NextRead(5000), clock.Millis(0))
	r.RecordSuccess()
	is.Equal(r.NextRead(5000), clock.Millis(5900))
}

func TestFullReadResumesAfterFailedCall(t *testing.T) {
	is := is.New(t)
	var w catalog.FullRead
	is.Equal(w.Next(100), "")
	w.AddPage(newChanges(3, 10, newTarget("i-1", 5, inband.Serving)), "key-1")
	is.Equal(w.Next(200), "key-1")
	is.Equal(w.Next(300), "key-1") // the call at 200 failed
	w.AddPage(newChanges(0, 12, newTarget("i-2", 6, inband.Serving)), "key-2")
	is.Equal(w.Next(400), "key-2")
	got, startedAt := w.AddLastPage(newChanges(0, 15, newTarget("i-3", 14, inband.Serving)))
	is.Equal(startedAt, clock.Millis(100))
	is.Equal(got.Revision, inband.Revision(10)) // later changes are read afterwards
	is.Equal(len(got.Targets), 3)
	is.Equal(got.Tables.Version, int64(3))
	is.Equal(w.Next(600), "")
}

// Tables may stand on any page, and a read may consist of a single page.
func TestFullReadTakesTablesFromAnyPage(t *testing.T) {
	is := is.New(t)
	var w catalog.FullRead
	single, _ := w.AddLastPage(newChanges(3, 10, newTarget("i-1", 5, inband.Serving)))
	is.Equal(single.Tables.Version, int64(3))
	is.Equal(w.Pages(), 0)
	w.AddPage(newChanges(0, 10, newTarget("i-1", 5, inband.Serving)), "key-1")
	last, _ := w.AddLastPage(newChanges(4, 12))
	is.Equal(last.Tables.Version, int64(4))
}

func TestOldFullReadStartsAgain(t *testing.T) {
	is := is.New(t)
	var w catalog.FullRead
	w.Next(0)
	w.AddPage(newChanges(0, 10), "x")
	is.Equal(w.Next(11*clock.Second), "")
}

// 300 VMs that start at the same time must not read 60 pages each from a store that answers
// 2,000 calls per second (fleetbench sweep: flows were served again only after 30 s).
func TestLargeFullReadsAreLeftToSeeds(t *testing.T) {
	is := is.New(t)
	const vms, pages = 300, 60
	callsPerSecond := 0
	for vm := range vms {
		r := catalog.NewReadScheduler(rand.New(rand.NewPCG(uint64(vm), 1)))
		now := clock.Millis(0)
		for page := 1; page < pages && now < clock.Second; page++ {
			callsPerSecond++
			now += 5
			r.SchedulePage(now, page, vm < 3)
			now = max(now, r.NextRead(0))
		}
	}
	is.True(callsPerSecond <= 2000)
	seed := newReadScheduler()
	seed.SchedulePage(100, 50, true)
	is.Equal(seed.NextRead(0), clock.Millis(0))
}

// A VM that starts while others run reads the targets itself and waits for a sibling to send the
// rest. This saves a call per start, and siblings send large tables compressed.
func TestFullReadWaitsForSiblingView(t *testing.T) {
	is := is.New(t)
	r := newReadScheduler()
	r.SchedulePage(100, 1, true)
	is.Equal(r.NextRead(0), clock.Millis(0))
	r.AwaitSiblingView(100)
	is.Equal(r.NextRead(0), clock.Millis(500)) // the wait is bounded
	r.EndSiblingViewWait()
	is.Equal(r.NextRead(0), clock.Millis(0))
	r.RecordFailure(200) // a view that does not arrive must not shorten this backoff
	retryAt := r.NextRead(0)
	is.True(retryAt > 200)
	r.AwaitSiblingView(200)
	r.EndSiblingViewWait()
	is.Equal(r.NextRead(0), retryAt)
}

// 100 VMs together call a store that is down about 10 times per second, so its return is noticed
// soon.
func TestFailingStoreReceivesFewCalls(t *testing.T) {
	is := is.New(t)
	const vms, outage = 100, 7 * clock.Second
	calls, last := 0, clock.Millis(0)
	for rank := range vms {
		r := catalog.NewReadScheduler(rand.New(rand.NewPCG(uint64(rank), 1)))
		r.SetRank(rank, vms)
		r.RecordSuccess()
		for now := r.NextRead(0); now < outage; now = r.NextRead(0) {
			calls++
			last = max(last, now)
			r.RecordFailure(now)
		}
	}
	is.True(calls <= 20*int(outage/clock.Second))
	is.True(outage-last < clock.Second)
}

// Pattern: all VMs of a large deployment start for the first time. On kinarez-ist-large 295 VMs made
// 590 calls within 30 ms, though no client was there yet.
func TestFirstStartWaitsForTheViewOfTheSeeds(t *testing.T) {
	is := is.New(t)
	const vms = 300
	perTick := map[clock.Millis]int{}
	for i := range vms {
		r := catalog.NewReadScheduler(rand.New(rand.NewPCG(uint64(i), 1)))
		r.DelayFirstRead(10)
		due := r.NextRead(0)
		is.True(due >= 2010 && due < 4010) // a VM that hears nothing reads before traffic starts
		perTick[due/100]++
	}
	for _, reads := range perTick {
		is.True(reads <= vms/10)
	}
}

// A view that a sibling sends ends the wait and makes the full read unnecessary.
func TestSiblingViewEndsTheWaitOfTheFirstStart(t *testing.T) {
	is := is.New(t)
	r := newReadScheduler()
	r.DelayFirstRead(0)
	r.RecordSiblingView()
	is.True(!r.NeedsFullRead())
	is.Equal(r.NextRead(100), clock.Millis(1000))
}

// Pattern: VMs come back from a loss of power while the store refuses them (kinarez-ist-large,
// inc-b7e1). The view of a sibling makes their full read unnecessary, and from then on the store is
// called by rank and not by the backoff of the failed read.
func TestSiblingViewReplacesAFailedFirstRead(t *testing.T) {
	is := is.New(t)
	r := newReadScheduler()
	r.SetRank(5, 300)
	r.RecordFailure(20)
	is.True(r.NextRead(0) > 20)
	is.True(r.NextRead(0) <= 200) // a VM without a view tries again soon
	r.RecordSiblingView()
	is.True(!r.NeedsFullRead())
	is.True(r.NextRead(80) >= 80+900+870)
}
