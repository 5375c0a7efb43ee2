// Package overload tells whether the targets of a pool have more work than they can finish in time, as far as
// one VM's own requests show. Package admission decides instead where VMs share their load.
package overload

import "github.com/almondflow/almondflow/clock"

// MaxLatency is the average latency in milliseconds above which a target counts as overloaded.
const MaxLatency = 80.0

// Limits for detecting an overloaded pool.
const (
	// maxWaiting is the number of waiting requests per slot of the best target at which a
	// pool may be overloaded.
	maxWaiting = 3.0
	// recoveryFraction is the fraction of either limit below which the overload is over. The
	// gap keeps the state from changing with each flow.
	recoveryFraction = 0.5
	// minTime is how long a pool must look overloaded before it counts as such. Refused
	// clients retry at once and only a few times, so a short burst is better spread over the
	// targets.
	minTime = 500 * clock.Millisecond
)

// Detector decides whether a pool is overloaded. The zero value says that it is not.
type Detector struct {
	isOverloaded    bool // set once looksOverloaded has been for minTime
	looksOverloaded bool // the last target showed both signs of overload
	since           clock.Millis
}

// Update takes in the requests that wait per slot of the best target of the pool, and that target's latency in
// milliseconds. Both have to be high: VMs are unequal, so that the requests are an estimate.
func (d *Detector) Update(now clock.Millis, waiting, latency float64) {
	switch {
	case waiting >= maxWaiting && latency >= MaxLatency:
		if !d.looksOverloaded {
			d.looksOverloaded, d.since = true, now
		}
		d.isOverloaded = now-d.since >= minTime
	case waiting <= recoveryFraction*maxWaiting || latency <= recoveryFraction*MaxLatency:
		d.isOverloaded, d.looksOverloaded = false, false
	}
}

// IsOverloaded reports whether the pool is overloaded, as of the last Update.
func (d *Detector) IsOverloaded() bool { return d.isOverloaded }
