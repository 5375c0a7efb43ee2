package catalog_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

func newReader() *catalog.Reader { return catalog.NewReader(rand.New(rand.NewPCG(1, 1))) }

func TestFirstReadIsFullAndImmediate(t *testing.T) {
	is := is.New(t)
	r := newReader()
	is.True(r.IsWhole())
	is.Equal(r.Due(0), clock.Millis(0))
}

// No other VM is due while the VM of rank 0 reads and sends its view. If it stops, the next one
// reads early enough that leaving targets get no new flow after 3 s.
func TestReadsAreOrderedByRank(t *testing.T) {
	is := is.New(t)
	var due []clock.Millis
	for rank := range 11 {
		r := newReader()
		r.SetRank(rank, 100)
		r.Succeeded()
		due = append(due, r.Due(1000))
	}
	is.Equal(due[0], 1900*clock.Millisecond)
	for rank := 1; rank < len(due); rank++ {
		is.True(due[rank] > due[0])
		is.True(due[rank]-1000 < 2500) // a leaving target must get no flow after 3 s
	}
}

// If the VM of rank 0 sends no view because the store answers slowly, 100 VMs must not read at
// once (bench kinarez-ist-grown trouble-2: 85 calls within one second of a slow store). The view
// of the next reader arrives within about 300 ms.
func TestLateReaderIsFollowedByFew(t *testing.T) {
	is := is.New(t)
	const vms, arrival = 100, 300 * clock.Millisecond
	first := clock.Millis(0)
	calls := 0
	for rank := 1; rank < vms; rank++ {
		r := catalog.NewReader(rand.New(rand.NewPCG(uint64(rank), 1)))
		r.SetRank(rank, vms)
		r.Succeeded()
		due := r.Due(1000)
		if rank == 1 {
			first = due
		}
		if due < first+arrival {
			calls++
		}
	}
	is.True(calls <= vms/10)
}

// Failed reads are repeated at growing intervals, until one succeeds.
func TestFailedReadsBackOff(t *testing.T) {
	is := is.New(t)
	r := newReader()
	r.Succeeded()
	now, calls := clock.Millis(0), 0
	for now < 10*clock.Second {
		due := max(r.Due(0), now+1)
		now = due
		r.Failed(now)
		calls++
	}
	is.True(calls < 15)
	r.Succeeded()
	is.Equal(r.Due(now), now+900)
}

// 100 VMs must not keep calling a store that is down (bench kinarez-ist-grown trouble-1: 800
// failed calls in 7 s). A VM without a view calls more often, because it cannot serve clients.
func TestBackoffGrowsWithNumberOfVMs(t *testing.T) {
	tests := []struct {
		name     string
		rank     int
		prepare  func(r *catalog.Reader)
		maxCalls int // in 10 s
	}{
		{"rank 0", 0, func(r *catalog.Reader) { r.Succeeded() }, 15},
		{"rank 50", 50, func(r *catalog.Reader) { r.Succeeded() }, 3},
		{"rank 50, starting", 50, func(*catalog.Reader) {}, 15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newReader()
			r.SetRank(tt.rank, 100)
			tt.prepare(r)
			calls := 0
			for now := clock.Millis(0); now < 10*clock.Second; calls++ {
				now = max(r.Due(0), now+1)
				r.Failed(now)
			}
			is.True(calls > 0)
			is.True(calls <= tt.maxCalls)
		})
	}
}

func TestLostHistoryCausesFullRead(t *testing.T) {
	is := is.New(t)
	r := newReader()
	r.Succeeded()
	r.LostHistory()
	is.True(r.IsWhole())
	is.Equal(r.Due(5000), clock.Millis(0))
}

// The monotonic clock stops while the machine is paused, so a stale view looks current.
func TestPauseCausesImmediateRead(t *testing.T) {
	is := is.New(t)
	r := newReader()
	r.Succeeded()
	r.Paused()
	is.Equal(r.Due(5000), clock.Millis(0))
	r.Succeeded()
	is.Equal(r.Due(5000), clock.Millis(5900))
}

func TestFullReadResumesAfterFailedCall(t *testing.T) {
	is := is.New(t)
	var w catalog.WholeRead
	is.Equal(w.Next(100), catalog.Call{})
	w.AddTargets(newChanges(0, 10, newTarget("i-1", 5, inband.Serving)), "key-1")
	is.Equal(w.Next(200), catalog.Call{After: "key-1"})
	is.Equal(w.Next(300), catalog.Call{After: "key-1"}) // the call at 200 failed
	w.AddTargets(newChanges(0, 12, newTarget("i-2", 6, inband.Serving)), "")
	is.Equal(w.Next(400), catalog.Call{IsTables: true})
	is.Equal(w.Next(500), catalog.Call{IsTables: true}) // the call at 400 failed
	got, startedAt := w.AddTables(newChanges(3, 15))
	is.Equal(startedAt, clock.Millis(100))
	is.Equal(got.Revision, inband.Revision(10)) // later changes are read afterwards
	is.Equal(len(got.Targets), 2)
	is.Equal(got.Tables.Version, int64(3))
	is.Equal(w.Next(600), catalog.Call{})
}

func TestOldFullReadStartsAgain(t *testing.T) {
	is := is.New(t)
	var w catalog.WholeRead
	w.Next(0)
	w.AddTargets(newChanges(0, 10), "x")
	is.Equal(w.Next(11*clock.Second), catalog.Call{})
}

// 300 VMs that start at the same time must not read 60 pages each from a store that answers
// 2,000 calls per second (fleetbench sweep: flows were served again only after 30 s).
func TestLargeFullReadsAreLeftToSeeds(t *testing.T) {
	is := is.New(t)
	const vms, pages = 300, 60
	callsPerSecond := 0
	for vm := range vms {
		r := catalog.NewReader(rand.New(rand.NewPCG(uint64(vm), 1)))
		now := clock.Millis(0)
		for page := 1; page < pages && now < clock.Second; page++ {
			callsPerSecond++
			now += 5
			r.TurnPage(now, page, vm < 3)
			now = max(now, r.Due(0))
		}
	}
	is.True(callsPerSecond <= 2000)
	seed := newReader()
	seed.TurnPage(100, 50, true)
	is.Equal(seed.Due(0), clock.Millis(0))
}

// A VM that starts while others run reads the targets itself and waits for a sibling to send the
// rest. This saves a call per start, and siblings send large tables compressed.
func TestFullReadWaitsForSiblingView(t *testing.T) {
	is := is.New(t)
	r := newReader()
	r.TurnPage(100, 1, true)
	is.Equal(r.Due(0), clock.Millis(0))
	r.AwaitHanded(100)
	is.Equal(r.Due(0), clock.Millis(500)) // the wait is bounded
	r.NotHanded()
	is.Equal(r.Due(0), clock.Millis(0))
	r.Failed(200) // a view that does not arrive must not shorten this backoff
	retryAt := r.Due(0)
	is.True(retryAt > 200)
	r.AwaitHanded(200)
	r.NotHanded()
	is.Equal(r.Due(0), retryAt)
}

// 100 VMs together call a store that is down about 10 times per second, so its return is noticed
// soon.
func TestFailingStoreReceivesFewCalls(t *testing.T) {
	is := is.New(t)
	const vms, outage = 100, 7 * clock.Second
	calls, last := 0, clock.Millis(0)
	for rank := range vms {
		r := catalog.NewReader(rand.New(rand.NewPCG(uint64(rank), 1)))
		r.SetRank(rank, vms)
		r.Succeeded()
		for now := r.Due(0); now < outage; now = r.Due(0) {
			calls++
			last = max(last, now)
			r.Failed(now)
		}
	}
	is.True(calls <= 20*int(outage/clock.Second))
	is.True(outage-last < clock.Second)
}
