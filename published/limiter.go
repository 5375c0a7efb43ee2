package published

import (
	"slices"

	"golang.org/x/time/rate"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// Limits of the rate of calls to the platform's service.
const (
	// CallsPerSecond is the limit for all daemons of the fleet together.
	CallsPerSecond = 2000
	// ReadersPerDomain is the number of daemons of each failure domain that watch the
	// service. These daemons are called readers.
	ReadersPerDomain = 3
	// readerShare is the percentage of CallsPerSecond that is reserved for readers. The
	// rest is for direct reads of daemons whose peers do not confirm their version.
	readerShare = 50
	// maxDaemonRate limits the calls per second of one daemon of a small fleet.
	maxDaemonRate = 20
	// readerBurst is the number of calls that a reader may make at once.
	readerBurst = 4
)

// Limiter limits the rate of calls of one daemon and is shared by all of its Pollers. It
// takes the time from its caller. It is not safe for concurrent use.
type Limiter struct {
	limiter *rate.Limiter
}

// NewLimiter returns a Limiter for a daemon that is not a reader, in a fleet of fleetSize
// daemons.
func NewLimiter(now clock.Millis, fleetSize int) *Limiter {
	l := &Limiter{limiter: rate.NewLimiter(0, 1)}
	l.SetFleet(now, fleetSize, 0, false)
	return l
}

// SetFleet sets the limit of the daemon from the number of daemons and readers of the
// fleet.
func (l *Limiter) SetFleet(now clock.Millis, fleetSize, readers int, isReader bool) {
	perSecond, burst := directRate(fleetSize), 1
	if isReader {
		perSecond = max(perSecond, float64(CallsPerSecond*readerShare)/100/float64(max(readers, 1)))
		burst = readerBurst
	}
	l.limiter.SetLimitAt(now.Time(), rate.Limit(min(perSecond, maxDaemonRate)))
	l.limiter.SetBurstAt(now.Time(), burst)
}

// directRate returns the calls per second of a daemon that is not a reader.
func directRate(fleetSize int) float64 {
	return float64(CallsPerSecond*(100-readerShare)) / 100 / float64(max(fleetSize, 1))
}

// JitterPeriod returns the period over which the daemons of a fleet of fleetSize spread calls
// that they would otherwise make at the same time.
func JitterPeriod(fleetSize int) clock.Millis {
	return clock.Millis(float64(clock.Second) / directRate(fleetSize))
}

// Take reports whether a call may be made at now and counts it if so. Otherwise it
// returns how long to wait before the next attempt.
func (l *Limiter) Take(now clock.Millis) (wait clock.Millis, ok bool) {
	reservation := l.limiter.ReserveN(now.Time(), 1)
	delay := reservation.DelayFrom(now.Time())
	if delay == 0 {
		return 0, true
	}
	reservation.CancelAt(now.Time())
	return clock.FromDuration(delay) + 1, false
}

// SelectReaders returns the daemons that watch the platform's service: the perDomain
// highest ranked serving entry VMs of each failure domain. All daemons with the same
// member list select the same readers.
func SelectReaders(list *fleet.List, perDomain int) []fleet.ID {
	best := make(map[string][]fleet.ID)
	for i := range list.VMs() {
		v := &list.VMs()[i]
		if v.State() == fleet.Serving {
			best[v.Domain()] = insertReader(best[v.Domain()], v.ID(), perDomain)
		}
	}
	var readers []fleet.ID
	for _, domain := range list.Domains() {
		readers = append(readers, best[domain]...)
	}
	return readers
}

// IsReader reports whether the daemon self is one of the readers.
func IsReader(readers []fleet.ID, self fleet.ID) bool { return slices.Contains(readers, self) }

// insertReader inserts id into ids, which are sorted by descending score, and keeps the
// first maxReaders of them.
func insertReader(ids []fleet.ID, id fleet.ID, maxReaders int) []fleet.ID {
	at := len(ids)
	for at > 0 && readerScore(ids[at-1]) < readerScore(id) {
		at--
	}
	if at == maxReaders {
		return ids
	}
	ids = append(ids, 0)
	copy(ids[at+1:], ids[at:])
	ids[at] = id
	return ids[:min(len(ids), maxReaders)]
}

// readerScore returns the score by which readers are selected.
func readerScore(id fleet.ID) uint64 {
	return fleet.RendezvousScore(uint64(fleet.NewID("platform_reader")), id)
}
