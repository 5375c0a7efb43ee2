package front

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
)

// recentDrains holds the drains that changed a short while ago and are told in announcements, one for each domain.
type recentDrains []recentDrain

type recentDrain struct {
	mark  drain.Mark
	until clock.Millis
}

// add adds a mark in place of an earlier one of its domain, and forgets those that have been told for long enough.
func (r *recentDrains) add(now clock.Millis, m drain.Mark) {
	*r = slices.DeleteFunc(*r, func(other recentDrain) bool { return other.mark.Domain == m.Domain || now >= other.until })
	*r = append(*r, recentDrain{mark: m, until: now + recentTargetTime})
}

// marks returns the marks to tell now.
func (r *recentDrains) marks(now clock.Millis) []drain.Mark {
	var marks []drain.Mark
	for _, d := range *r {
		if now < d.until {
			marks = append(marks, d.mark)
		}
	}
	return marks
}
