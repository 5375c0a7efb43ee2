package admission

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// maxNewsAge is the age up to which news of other VMs is fresh.
const maxNewsAge = 3 * clock.Second

// newsWeight is the weight of the response time by the news of others, in own answers. Fewer of them differ by
// chance; more of them tell earlier than the news does.
const newsWeight = 3.0

// Room is what a pool can take at one moment, as one VM sees it.
type Room struct {
	ResponseTime float64      // of one more request, in milliseconds; zero if nothing shows it
	Slots        int          // of the targets in all domains that may be used and have fresh news
	Busy         float64      // requests under way there
	Age          clock.Millis // of the news of the domain with the newest
	hasFreeSlots bool         // in a domain with fresh news
	hasAnswers   bool         // requests finish in such a domain
}

// IsOwnView reports whether there is no fresh news of other VMs, so that only this VM's own requests count.
func (r Room) IsOwnView() bool { return r.Slots == 0 }

// roomOf sums up the domains of a pool that have fresh news. The response time also goes by own answers.
func roomOf(own *answers, domains []load.DomainPool) Room {
	r := Room{Age: ageOf(domains)}
	for _, d := range domains {
		if d.Age <= maxNewsAge {
			r.Slots += d.Slots
			r.Busy += d.Work.Busy
			r.hasAnswers = r.hasAnswers || d.Work.Finished > 0
			r.hasFreeSlots = r.hasFreeSlots || d.Work.Busy < float64(d.Slots)
		}
	}
	r.ResponseTime = own.blend(bestResponseTime(domains, 0))
	return r
}

// ageOf returns the age of the newest news.
func ageOf(domains []load.DomainPool) clock.Millis {
	age := clock.Millis(0)
	for i, d := range domains {
		if i == 0 || d.Age < age {
			age = d.Age
		}
	}
	return age
}

// bestResponseTime returns the expected response time in the best domain that has fresh news, as new flows go
// there, or zero. A domain where nothing finishes shows none: its targets may be idle or dead. Neither does one that
// finishes fewer than minRate requests a second.
func bestResponseTime(domains []load.DomainPool, minRate float64) float64 {
	best := 0.0
	for _, d := range domains {
		expected := d.ResponseTime()
		isKnown := d.Age <= maxNewsAge && d.Work.Finished >= minRate && expected > 0
		if isKnown && (best == 0 || expected < best) {
			best = expected
		}
	}
	return best
}

// isHopeless reports whether one more request would be answered after a timeout, if there is one. While a slot is
// free it need not wait: the response time is long then because little finishes, as after targets have hung.
func (r Room) isHopeless(timeout clock.Millis) bool {
	return timeout > 0 && !r.IsOwnView() && !r.hasFreeSlots && r.ResponseTime > float64(timeout)
}

// isIdle reports whether fresh news shows that most slots are free: then long response times of this VM's own
// requests have another cause. While no request finishes, as after a start, little is under way by the news of a load
// that has just begun, too.
func (r Room) isIdle() bool {
	const busyPart = 0.25
	return !r.IsOwnView() && r.hasAnswers && r.Busy <= busyPart*float64(r.Slots)
}

// isLightlyLoaded reports whether at most half of the slots are occupied, so that hardly any request waits.
func (r Room) isLightlyLoaded() bool { return !r.IsOwnView() && r.Busy <= float64(r.Slots)/2 }
