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
	Kept                     // placed in this VM's own failure domain: no other one has room
	Refused                  // reset: no failure domain has room
)

// maxBusyPerSlot is the number of requests under way for each slot below which a domain has room: one waits for every two
// slots. Those that are on their way count as well, so that slots are free at one for each.
const maxBusyPerSlot = 1.5

// Decide decides on an opening of a priority, and counts it if it is refused. draw is a random number from 0 to 1.
// others holds the failure domains other than this VM's own that it reaches. While one of them has room, the share Refused of
// the openings goes there as far as recent answers show that room, and the rest of that share is refused. Late answers
// outweigh the news. While none has room, openings do not leave the domain: VMs of full domains would send each other what they
// place better at home. Those of a priority that is not refused stay only for late answers, as news of less urgent ones
// says nothing to them.
func (c *Controller) Decide(now clock.Millis, priority int, draw float64, others []load.DomainPool) Decision {
	s := c.find(priority)
	switch {
	case s == nil:
		return Admitted
	case !c.IsFullElsewhere(now) && hasRoomIn(others):
		s.seenAt = now
		return c.decideWithRoom(now, s, draw)
	case c.Refuse(now, priority, draw):
		return Refused
	case c.staysAtHome(now, s, others):
		return Kept
	default:
		return Admitted
	}
}

// staysAtHome reports whether an opening of a priority that is not refused stays in the domain, as no other one has room.
func (c *Controller) staysAtHome(now clock.Millis, s *state, others []load.DomainPool) bool {
	if c.IsFullElsewhere(now) {
		return true
	}
	return s.share.Refused > 0 && (hasFreshNews(others) || !c.takesElsewhere(now))
}

// decideWithRoom decides on an opening while another domain has room by the news.
func (c *Controller) decideWithRoom(now clock.Millis, s *state, draw float64) Decision {
	switch {
	case draw >= s.share.Refused:
		return Admitted
	case c.takesElsewhere(now):
		c.elsewhere.sent++
		return Spilled
	default:
		s.share.Count++
		return Refused
	}
}

// takesElsewhere reports whether one more opening may leave the domain. Without a count of the requests under way all may.
func (c *Controller) takesElsewhere(now clock.Millis) bool {
	present := &c.forecast.present
	return present.Slots == 0 || c.elsewhere.takes(now, present.Elsewhere)
}

// hasFreshNews reports whether there is fresh news of one of the domains.
func hasFreshNews(others []load.DomainPool) bool {
	return slices.ContainsFunc(others, func(d load.DomainPool) bool { return d.Age <= maxNewsAge })
}

// hasRoomIn reports whether one of the domains has room, as fresh news shows. Response times do not tell: targets that
// reject what they have no room for answer soon.
func hasRoomIn(others []load.DomainPool) bool {
	return slices.ContainsFunc(others, func(d load.DomainPool) bool {
		return d.Age <= maxNewsAge && d.Work.Finished > 0 && d.Work.Busy < maxBusyPerSlot*float64(d.Slots)
	})
}
