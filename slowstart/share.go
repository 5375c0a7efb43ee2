package slowstart

import "github.com/almondflow/almondflow/clock"

const (
	// shareLifetime is how long a share is used before it is worked out again from the VMs that are known then.
	shareLifetime = 250 * clock.Millisecond
	// maxWait limits how long new flows wait for requests that came before, so that they wait no longer than this
	// after the last one.
	maxWait = clock.Second
)

// Share is what one VM may open at a target during its slow start. The zero value has expired.
type Share struct {
	interval  clock.Millis // least time between two requests
	mayOpen   bool
	expiresAt clock.Millis
	nextAt    clock.Millis // when the next flow may be opened
}

// IsExpired reports whether the share has to be renewed before it is used.
func (s *Share) IsExpired(now clock.Millis) bool { return now >= s.expiresAt }

// Renew works the share out anew. Its arguments are those of Interval.
func (s *Share) Renew(now clock.Millis, limit float64, rank, vms int) {
	s.interval, s.mayOpen = Interval(limit, rank, vms)
	s.expiresAt = now + shareLifetime
}

// HasRoom reports whether the VM may open a flow at the target now.
func (s *Share) HasRoom(now clock.Millis) bool { return s.mayOpen && now >= s.nextAt }

// Count counts a request of the VM at the target: the first of a new flow, or one of an open flow. Those are not held
// up, so new flows wait for what they take beyond the share.
func (s *Share) Count(now clock.Millis) { s.nextAt = min(max(s.nextAt, now), now+maxWait) + s.interval }
