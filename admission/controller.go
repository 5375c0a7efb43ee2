package admission

import (
	"math"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

const (
	// UpdateInterval is the time between two updates of the shares.
	UpdateInterval = 100 * clock.Millisecond
	// directWeight is the weight of the pressure of the moment. The rest comes from its average: news is late,
	// and a share that followed it alone would swing between all and nothing.
	directWeight = 0.4
	// averagingTime is the time constant of the average.
	averagingTime = 2 * clock.Second
	// maxOwnViewShare limits the share that is refused by a VM without news of the others.
	maxOwnViewShare = 0.5
	// triesPerRequest is how often clients that are refused at once try in all.
	triesPerRequest = 3
)

// Controller decides which openings to one pool are refused. The zero value refuses none.
type Controller struct {
	levels    []Level // the most urgent first
	shares    []Share // of the same levels
	room      Room
	unloaded  float64 // response time without load, in milliseconds, or zero
	average   float64 // of the pressure
	updatedAt clock.Millis
}

// Share is the share of the requests of one priority that are refused.
type Share struct {
	Priority int     `json:"priority"`
	Refused  float64 `json:"refused"`  // share of requests, 0 to 1
	Hopeless bool    `json:"hopeless"` // every opening is refused, as the answer would come after the timeout
	Count    int     `json:"count"`    // openings refused so far
	chance   float64 // that one opening is refused: a request fails only if all its tries are refused
}

// IsRefusing reports whether openings of the priority are refused.
func (s Share) IsRefusing() bool { return s.Refused > 0 || s.Hopeless }

// SetLevels replaces the levels by those of the pool's routes. Shares of priorities that remain are kept.
func (c *Controller) SetLevels(routes []Level) {
	var levels []Level
	for _, l := range routes {
		levels = addLevel(levels, l)
	}
	shares := make([]Share, len(levels))
	for i, l := range levels {
		shares[i] = c.share(l.Priority)
	}
	c.levels, c.shares = levels, shares
}

// share returns the share of a priority, which is zero if there is none.
func (c *Controller) share(priority int) Share {
	if i := c.index(priority); i >= 0 {
		return c.shares[i]
	}
	return Share{Priority: priority}
}

func (c *Controller) index(priority int) int {
	return slices.IndexFunc(c.shares, func(s Share) bool { return s.Priority == priority })
}

// IsUpdateDue reports whether the shares are to be updated. Nothing has to be for a pool that can refuse none.
func (c *Controller) IsUpdateDue(now clock.Millis) bool {
	return len(c.levels) > 0 && (c.updatedAt == 0 || now-c.updatedAt >= UpdateInterval)
}

// Update sets the shares by the work at the pool's targets. domains are those that may be used.
func (c *Controller) Update(now clock.Millis, domains []load.Pool) {
	weight := 1.0
	if c.updatedAt != 0 {
		weight = weightAfter(now - c.updatedAt)
	}
	c.updatedAt = now
	c.room = roomOf(domains)
	c.updateUnloaded(weight)
	c.setShares(c.pressure(weight))
}

// updateUnloaded updates the response time without load while it can be seen. The weight is that of the latest
// update in averages.
func (c *Controller) updateUnloaded(weight float64) {
	switch {
	case !c.room.isLightlyLoaded() || c.room.ResponseTime == 0:
	case c.unloaded == 0:
		c.unloaded = c.room.ResponseTime
	default:
		c.unloaded += weight * (c.room.ResponseTime - c.unloaded)
	}
}

// pressure returns how many of the less urgent levels are to be refused.
func (c *Controller) pressure(weight float64) float64 {
	if len(c.levels) == 0 || c.levels[0].TargetLatency == 0 {
		return 0
	}
	r := newRamp(c.levels[0].TargetLatency, c.unloaded, len(c.levels)-1)
	direct := r.pressure(c.room.ResponseTime)
	c.average += weight * (direct - c.average)
	return r.room(c.room.ResponseTime) * (directWeight*direct + (1-directWeight)*c.average)
}

// weightAfter returns the weight of a new value in an average after some time.
func weightAfter(elapsed clock.Millis) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(averagingTime))
}

// setShares distributes the pressure over the levels: the least urgent is refused fully before the next one
// begins, and the most urgent is served.
func (c *Controller) setShares(pressure float64) {
	limit := 1.0
	if c.room.IsOwnView() {
		limit = maxOwnViewShare
	}
	for i, l := range c.levels {
		lessUrgent := float64(len(c.levels) - 1 - i)
		s := &c.shares[i]
		s.Refused = 0
		if i > 0 {
			s.Refused = limit * max(0, min(1, pressure-lessUrgent))
		}
		s.chance = math.Pow(s.Refused, 1.0/triesPerRequest)
		s.Hopeless = l.Timeout > 0 && !c.room.IsOwnView() && c.room.ResponseTime > float64(l.Timeout)
	}
}

// Refuse reports whether an opening of a priority is refused, and counts it. draw is a random number from 0 to 1:
// each try is drawn anew, whoever it comes from, so a client that was refused has the same chance again.
func (c *Controller) Refuse(priority int, draw float64) bool {
	i := c.index(priority)
	if i < 0 {
		return false
	}
	s := &c.shares[i]
	isRefused := s.Hopeless || draw < s.chance
	if isRefused {
		s.Count++
	}
	return isRefused
}

// Shares returns the refused share of each priority, the most urgent first.
func (c *Controller) Shares() []Share { return slices.Clone(c.shares) }

// Room returns what the latest update saw of the pool.
func (c *Controller) Room() Room { return c.room }

// IsRefusing reports whether openings of some priority are refused.
func (c *Controller) IsRefusing() bool { return slices.ContainsFunc(c.shares, Share.IsRefusing) }
