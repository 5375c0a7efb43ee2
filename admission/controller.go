package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const (
	// UpdateInterval is the time between two updates of the shares.
	UpdateInterval = 100 * clock.Millisecond
	// directWeight is the weight of the pressure of the moment. The rest comes from its average: news is late,
	// and a share that followed it alone would swing between all and nothing. The moment weighs most, as an
	// average is later than the target latencies that it has to protect.
	directWeight = 0.7
	// averagingTime is the time constant of the average. It is about the delay of the news: averages over up to
	// 750 ms (package load), sent twice a second.
	averagingTime = clock.Second
	// releaseTime takes the place of averagingTime while the ramp asks for nothing: own answers show the end of a
	// load before the news does.
	releaseTime = 500 * clock.Millisecond
	// activeTime is how long after its newest opening a level counts as one with callers.
	activeTime = 5 * clock.Second
	// renewalInterval is the time between two hopeless openings that are not refused for that: their answers show
	// when targets have recovered. It is below maxNewsAge, and long enough that those of many VMs are few.
	renewalInterval = clock.Second
	// minFinished is the number of requests a second that a domain has to finish until it shows a response time
	// without load. A client that vanished with a request under way then adds 100 ms at the most.
	minFinished = 10.0
	// maxOwnViewShare limits the share that is refused by a VM without news of the others.
	maxOwnViewShare = 0.5
	// triesPerRequest is how often clients that are refused at once are assumed to try in all, as routes do not tell:
	// a request fails only if all its tries are refused. Callers that try less often are refused more than the share.
	triesPerRequest = 3
)

// Controller decides which openings to one pool are refused. The zero value refuses none.
type Controller struct {
	states        []state      // of the levels, the most urgent first
	targetLatency clock.Millis // the shortest one of all levels
	answers       answers
	elsewhere     elsewhere
	forecast      forecast
	room          Room
	unloaded      float64 // response time without load, in milliseconds, or zero
	updatedAt     clock.Millis
	renewedAt     clock.Millis // when a hopeless opening was last not refused for that
}

// state is what a controller knows of a level.
type state struct {
	level      Level
	seenAt     clock.Millis // when the newest opening of the level came, or zero
	average    float64      // share that the ramp asks for
	share      Share
	wasRefused bool // openings of the level were refused, now or before
}

// Share is what is refused of the requests and openings of one priority while no other failure domain has room. While
// one has, the share Refused of the openings is placed there instead, as far as answers from there show the room.
type Share struct {
	Priority        int     `json:"priority"`
	Refused         float64 `json:"refused"`          // share of the requests whose callers try triesPerRequest times, 0 to 1
	RefusedOpenings float64 `json:"refused_openings"` // share of the openings, which is that of callers that try once, 0 to 1
	Hopeless        bool    `json:"hopeless"`         // answers would come after the timeout: all but one opening a second at each VM are refused
	Count           int     `json:"count"`            // openings refused or deferred so far
}

// IsRefusing reports whether the share is above zero or the priority is hopeless. Its openings may go to other failure
// domains instead of being refused.
func (s Share) IsRefusing() bool { return s.Refused > 0 || s.Hopeless }

// SetLevels replaces the levels by those of the pool's routes. What is known of priorities that remain is kept.
func (c *Controller) SetLevels(routes []Level) {
	var levels []Level
	for _, l := range routes {
		levels = addLevel(levels, l)
	}
	states := make([]state, len(levels))
	c.targetLatency = 0
	for i, l := range levels {
		c.targetLatency = shortest(c.targetLatency, l.TargetLatency)
		if known := c.find(l.Priority); known != nil {
			states[i] = *known
		}
		states[i].level, states[i].share.Priority = l, l.Priority
	}
	c.states = states
}

// find returns the state of a priority, or nil if no route has it.
func (c *Controller) find(priority int) *state {
	for i := range c.states {
		if c.states[i].level.Priority == priority {
			return &c.states[i]
		}
	}
	return nil
}

// IsUpdateDue reports whether the shares are to be updated. Nothing has to be for a pool without routes.
func (c *Controller) IsUpdateDue(now clock.Millis) bool {
	return len(c.states) > 0 && (c.updatedAt == 0 || now-c.updatedAt >= UpdateInterval)
}

// Observe records the response time of a request of this VM.
func (c *Controller) Observe(responseTime clock.Millis) {
	c.answers.add(float64(responseTime), c.usualTime())
}

// usualTime returns the response time from which answers count fully.
func (c *Controller) usualTime() float64 {
	target := float64(c.targetLatency)
	if c.unloaded == 0 || target == 0 {
		return cmp.Or(c.unloaded, rampStart*target)
	}
	return min(c.unloaded, maxRampStart*target)
}

// ObserveShed records that a target was too full for a request of this VM. It counts as one that is not
// answered in time.
func (c *Controller) ObserveShed() { c.answers.add(float64(c.targetLatency), 0) }

// ObserveElsewhere records the response time of a request of this VM in another failure domain, besides Observe.
func (c *Controller) ObserveElsewhere(now, responseTime clock.Millis) {
	if !c.RefusesByUrgency() {
		return
	}
	c.elsewhere.add(now, float64(responseTime), c.usualTime(), c.rampStart())
}

// ObserveShedElsewhere records that a target in another failure domain was too full, besides ObserveShed.
func (c *Controller) ObserveShedElsewhere(now clock.Millis) { c.ObserveElsewhere(now, c.targetLatency) }

// RefusesByUrgency reports whether openings may be refused for more urgent ones: the routes have several priorities and a
// target latency.
func (c *Controller) RefusesByUrgency() bool { return len(c.states) > 1 && c.targetLatency > 0 }

// rampStart returns the response time in milliseconds from which requests take too long for the most urgent callers.
func (c *Controller) rampStart() float64 { return newRamp(c.targetLatency, c.unloaded, 0).start }

// IsFullElsewhere reports whether own answers show that the other failure domains have no room, which the news may not
// show yet.
func (c *Controller) IsFullElsewhere(now clock.Millis) bool { return c.elsewhere.isFull(now) }

// SetPresent sets what is under way now in this VM's own failure domain, for the next Update. Without it the response
// time is that of answers and news.
func (c *Controller) SetPresent(p Present) {
	c.forecast.present = p
	c.elsewhere.sent = 0 // counted in p
}

// Update sets the shares by the work of all VMs at the pool's targets, in the domains that may be used.
func (c *Controller) Update(now clock.Millis, domains []load.DomainPool) {
	elapsed := now - c.updatedAt
	if c.updatedAt == 0 {
		elapsed = math.MaxInt32 // nothing is known of before
	}
	c.updatedAt = now
	c.room = roomOf(&c.answers, domains)
	c.forecastResponseTime(elapsed)
	c.answers.fade(elapsed)
	c.updateUnloaded(weightAfter(elapsed, averagingTime), domains)
	after := 0.0
	for i, s := range slices.Backward(c.states) {
		r := newRamp(c.targetLatencyBefore(now, i), c.unloaded, after)
		c.updateShare(&c.states[i], r, elapsed)
		if s.isActive(now) {
			after = r.end
		}
	}
}

// forecastResponseTime has the response time follow the requests under way now, if openings may be refused for that.
func (c *Controller) forecastResponseTime(elapsed clock.Millis) {
	if !c.RefusesByUrgency() {
		return
	}
	responseTime := c.forecast.update(elapsed, c.unloaded, rampStart*float64(c.targetLatency), &c.answers)
	if responseTime > 0 {
		c.room.ResponseTime = responseTime
	}
}

// targetLatencyBefore returns the shortest target latency of the levels before one, or zero. Levels without
// callers need no protection.
func (c *Controller) targetLatencyBefore(now clock.Millis, index int) clock.Millis {
	target := clock.Millis(0)
	for i := range c.states[:index] {
		if c.states[i].isActive(now) {
			target = shortest(target, c.states[i].level.TargetLatency)
		}
	}
	return target
}

// isActive reports whether callers of the level have come in lately.
func (s *state) isActive(now clock.Millis) bool { return s.seenAt != 0 && now-s.seenAt < activeTime }

// updateShare sets the share of a level by its ramp.
func (c *Controller) updateShare(s *state, r ramp, elapsed clock.Millis) {
	direct := r.share(c.room.ResponseTime)
	timeConstant := averagingTime
	if direct == 0 {
		timeConstant = releaseTime
	}
	s.average += weightAfter(elapsed, timeConstant) * (direct - s.average)
	s.share.Refused = c.limit() * (directWeight*direct + (1-directWeight)*s.average)
	s.share.RefusedOpenings = math.Pow(s.share.Refused, 1.0/triesPerRequest)
	s.share.Hopeless = c.room.isHopeless(s.level.Timeout)
	s.wasRefused = s.wasRefused || s.share.IsRefusing()
}

// limit returns the greatest share that may be refused.
func (c *Controller) limit() float64 {
	switch {
	case c.room.isIdle():
		return 0
	case c.room.IsOwnView():
		return maxOwnViewShare
	default:
		return 1
	}
}

// updateUnloaded updates the response time without load while it can be seen. Own answers tell of a rising load
// before the news does, so they do not count.
func (c *Controller) updateUnloaded(weight float64, domains []load.DomainPool) {
	responseTime := bestResponseTime(domains, minFinished)
	switch {
	case !c.room.isLightlyLoaded() || responseTime == 0:
	case c.unloaded == 0:
		c.unloaded = responseTime
	default:
		c.unloaded += weight * (responseTime - c.unloaded)
	}
}

// weightAfter returns the weight of a new value in an average after some time.
func weightAfter(elapsed, timeConstant clock.Millis) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(timeConstant))
}

// Notice records an opening of a priority that may not be refused: its callers count as well.
func (c *Controller) Notice(now clock.Millis, priority int) {
	if s := c.find(priority); s != nil {
		s.seenAt = now
	}
}

// Refuse reports whether an opening of a priority is refused, and counts it if so. It does not look at other failure
// domains; Decide does that first. draw is a random number from 0 to 1, drawn anew for each try, so a client that was
// refused has the same chance again.
func (c *Controller) Refuse(now clock.Millis, priority int, draw float64) bool {
	s := c.find(priority)
	if s == nil {
		return false
	}
	s.seenAt = now
	isRefused := draw < s.share.RefusedOpenings || s.share.Hopeless && !c.mayRenew(now)
	switch {
	case isRefused:
		s.share.Count++
	case s.share.Hopeless:
		c.renewedAt = now
	}
	return isRefused
}

// mayRenew reports whether a hopeless opening may show whether answers still take as long.
func (c *Controller) mayRenew(now clock.Millis) bool { return now-c.renewedAt >= renewalInterval }

// Shares returns the refused share of each priority, the most urgent first.
func (c *Controller) Shares() []Share {
	shares := make([]Share, len(c.states))
	for i := range c.states {
		shares[i] = c.states[i].share
	}
	return shares
}

// Room returns what the latest update saw of the pool.
func (c *Controller) Room() Room { return c.room }

// IsRefusing reports whether openings of some priority are refused.
func (c *Controller) IsRefusing() bool {
	return slices.ContainsFunc(c.states, func(s state) bool { return s.share.IsRefusing() })
}

// HasRefused reports whether openings of some priority are or were refused.
func (c *Controller) HasRefused() bool {
	return slices.ContainsFunc(c.states, func(s state) bool { return s.wasRefused })
}
