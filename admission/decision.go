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
	Admit     Decision = iota // it goes to the target that was chosen for it
	Elsewhere                 // it goes to another failure domain, which has room
	Refuse                    // it is reset: no domain has room for it
)

// roomPart is the part of a domain's slots that may be occupied while the domain has room. The rest is left for what
// other VMs send there before the news of it comes.
const roomPart = 0.75

// Decide decides on an opening of a priority. draw is a random number from 0 to 1, and others are the domains
// beside that of this VM's own answers. While one of them has room, nothing is refused: the share that would be
// goes there.
func (c *Controller) Decide(now clock.Millis, priority int, draw float64, others []load.Pool) Decision {
	s := c.find(priority)
	switch {
	case s == nil:
		return Admit
	case hasRoomIn(others):
		s.seenAt = now
		if draw < s.share.Refused {
			return Elsewhere
		}
		return Admit
	case c.Refuse(now, priority, draw):
		return Refuse
	default:
		return Admit
	}
}

// hasRoomIn reports whether one of the domains has room, as fresh news shows. Response times do not tell: targets that
// reject what they have no room for answer soon.
func hasRoomIn(others []load.Pool) bool {
	return slices.ContainsFunc(others, func(d load.Pool) bool {
		return d.Age <= maxNewsAge && d.Work.Finished > 0 && d.Work.Busy <= roomPart*float64(d.Slots)
	})
}
