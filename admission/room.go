package admission

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// maxNewsAge is the age of the news from other VMs from which a VM goes by its own requests alone.
const maxNewsAge = 2 * clock.Second

// Room is what a pool can take at one moment, as one VM sees it.
type Room struct {
	ResponseTime float64      // of one more request, in milliseconds; zero if nothing shows it
	Slots        int          // of the targets in all domains that may be used
	Busy         float64      // requests under way there
	Age          clock.Millis // of the news of the domain with the newest
}

// IsOwnView reports whether the news of other VMs is too old, so that only this VM's own requests count.
func (r Room) IsOwnView() bool { return r.Age > maxNewsAge }

// roomOf sums up the domains of a pool that have fresh news, or all of them if none has. The response time is
// that of the best domain, as new flows go there. A domain where nothing finishes shows none: its targets may be
// idle or dead.
func roomOf(domains []load.Pool) Room {
	var r Room
	for i, d := range domains {
		if i == 0 || d.Age < r.Age {
			r.Age = d.Age
		}
	}
	for _, d := range domains {
		if d.Age > maxNewsAge && !r.IsOwnView() {
			continue
		}
		r.Slots += d.Slots
		r.Busy += d.Work.Busy
		expected := responseTime(d, r.IsOwnView())
		if expected > 0 && (r.ResponseTime == 0 || expected < r.ResponseTime) {
			r.ResponseTime = expected
		}
	}
	return r
}

// responseTime returns the expected response time in a domain. From its own requests alone a VM cannot tell
// how many slots are occupied, but how long these requests take, by Little's law.
func responseTime(d load.Pool, isOwnView bool) float64 {
	if !isOwnView {
		return d.ResponseTime()
	}
	if d.Work.Finished <= 0 {
		return 0
	}
	return float64(clock.Second) * d.Work.Busy / d.Work.Finished
}

// isLightlyLoaded reports whether at most half of the slots are occupied, so that hardly any request waits.
func (r Room) isLightlyLoaded() bool { return !r.IsOwnView() && r.Busy <= float64(r.Slots)/2 }
