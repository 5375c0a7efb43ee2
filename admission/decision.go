package admission

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// Decision is what happens to an opening for lack of room.
type Decision uint8

// Decisions.
const (
	Admitted Decision = iota // placed on the target that was chosen for it
	Spilled                  // placed in another failure domain, which has room
	Refused                  // reset: no failure domain has room
)

// Decide decides on an opening of a priority, and counts it if it is refused. draw is a random number from 0 to 1.
// others holds the failure domains other than this VM's own that it reaches. While one of them has room, nothing is
// refused: the share Refused of the openings goes there. Own answers that were late there outweigh the news.
func (c *Controller) Decide(now clock.Millis, priority int, draw float64, others []load.DomainPool) Decision {
	s := c.find(priority)
	switch {
	case s == nil:
		return Admitted
	case !c.IsFullElsewhere(now) && hasRoomIn(others):
		s.seenAt = now
		if draw < s.share.Refused {
			return Spilled
		}
		return Admitted
	case c.Refuse(now, priority, draw):
		return Refused
	default:
		return Admitted
	}
}

// hasRoomIn reports whether one of the domains has a free slot, as fresh news shows. Response times do not tell: targets
// that reject what they have no room for answer soon.
func hasRoomIn(others []load.DomainPool) bool {
	return slices.ContainsFunc(others, func(d load.DomainPool) bool {
		return d.Age <= maxNewsAge && d.Work.Finished > 0 && d.Work.Busy < float64(d.Slots)
	})
}
