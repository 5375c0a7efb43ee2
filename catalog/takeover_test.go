package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
)

// Times of the daemon and of the store's client that readers depend on.
const (
	answerTime    = 10 * clock.Millisecond   // of a call to the store, and of the news to the other VMs
	callTimeout   = 1500 * clock.Millisecond // of a call that gets no answer
	connectionTTL = 2 * clock.Second         // how long a connection is used again after a call
	knownWithin   = 3 * clock.Second         // the users' bound for a drain
)

// reader is one VM that reads the store.
type reader struct {
	scheduler     *catalog.ReadScheduler
	lostAt        clock.Millis
	hasConnection bool
	openedAt      clock.Millis // of its connection
	usedAt        clock.Millis // last use of its connection
	busyUntil     clock.Millis
}

// readers are VMs in the order of their ranks. All open connections to the store go silent at each time of silentAt.
type readers struct {
	vms         []*reader
	confirmedAt clock.Millis
	silentAt    []clock.Millis
}

func newReaders(count int, random *rand.Rand) *readers {
	all := &readers{}
	for rank := range count {
		s := catalog.NewReadScheduler(random)
		s.SetRank(rank, count)
		s.RecordSuccess()
		all.vms = append(all.vms, &reader{scheduler: s, lostAt: clock.Minute, hasConnection: true}) // each has read at its start
	}
	return all
}

// next returns the VM that reads next, and when.
func (r *readers) next(now clock.Millis) (*reader, clock.Millis) {
	var first *reader
	at := clock.Minute
	for _, v := range r.vms {
		if due := max(now, v.busyUntil, v.scheduler.NextRead(r.confirmedAt)); due < at && due < v.lostAt {
			first, at = v, due
		}
	}
	return first, at
}

// isSilent reports whether the connection that a VM uses went silent after it was opened.
func (r *readers) isSilent(v *reader, now clock.Millis) bool {
	for _, at := range r.silentAt {
		if at >= v.openedAt && at <= now+answerTime {
			return true
		}
	}
	return false
}

// read lets a VM call the store. It returns whether it got an answer.
func (r *readers) read(v *reader, now clock.Millis) bool {
	if !v.hasConnection || now-v.usedAt > connectionTTL {
		v.hasConnection, v.openedAt = true, now
	}
	if r.isSilent(v, now) {
		v.busyUntil, v.hasConnection = now+callTimeout, false
		v.scheduler.RecordFailure(v.busyUntil)
		return false
	}
	v.usedAt, v.busyUntil = now+answerTime, now+answerTime
	if v.lostAt < v.busyUntil {
		return false
	}
	v.scheduler.RecordSuccess()
	r.confirmedAt = now
	return true
}

// Guards against a drain that is known too late because several events meet (review/8): open connections to the store go
// silent, once or twice, and the VMs that read for the others are lost, once or twice.
func TestReadsGoOnAfterTwoEvents(t *testing.T) {
	tests := []struct {
		name            string
		silences, loses int
	}{
		{"silence", 1, 0}, {"loss", 0, 1}, {"silence and loss", 1, 1}, {"two silences", 2, 0}, {"two losses", 0, 2},
	}
	for _, tt := range tests {
		for _, vms := range []int{2, 3, 7, 20, 87} {
			t.Run(fmt.Sprintf("%s, %d VMs", tt.name, vms), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(300) {
					random := rand.New(rand.NewPCG(seed, 1))
					r := newReaders(vms, random)
					drainedAt := 20*clock.Second + clock.Millis(random.Int64N(2000))
					for i := range tt.silences {
						r.silentAt = append(r.silentAt, drainedAt+clock.Millis(i)*clock.Millis(random.Int64N(2000))-clock.Millis(random.Int64N(500)))
					}
					readers := 1 + random.IntN(min(3, vms-1))
					for i := range tt.loses {
						for _, v := range r.vms[min(i*readers, vms-1):min((i+1)*readers, vms-1)] {
							v.lostAt = drainedAt + clock.Millis(i)*clock.Millis(random.Int64N(2000))
						}
					}
					now := clock.Millis(0)
					for {
						v, at := r.next(now)
						now = at
						if r.read(v, at) && at >= drainedAt {
							break
						}
					}
					is.True(now+answerTime <= drainedAt+knownWithin) // as the users ask
				}
			})
		}
	}
}
