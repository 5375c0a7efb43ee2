package admission

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// Level is what the routes of one priority to a pool have in common.
type Level struct {
	Priority      int          // 0 is the most urgent
	TargetLatency clock.Millis // in which callers want the answer, or zero if it is not known
	Timeout       clock.Millis // after which callers give up, or zero if it is not known
}

// addLevel adds a route's level to the levels of a pool. Routes of the same priority share one level, with
// the shortest target latency, which protects all of them, and the longest timeout, as a request is hopeless
// only beyond that.
func addLevel(levels []Level, l Level) []Level {
	i := slices.IndexFunc(levels, func(other Level) bool { return other.Priority == l.Priority })
	if i < 0 {
		levels = append(levels, l)
		slices.SortFunc(levels, func(a, b Level) int { return cmp.Compare(a.Priority, b.Priority) })
		return levels
	}
	levels[i].TargetLatency = shortest(levels[i].TargetLatency, l.TargetLatency)
	levels[i].Timeout = longest(levels[i].Timeout, l.Timeout)
	return levels
}

// shortest returns the lesser of two times, of which zero is none.
func shortest(a, b clock.Millis) clock.Millis {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// longest returns the greater of two times, of which zero is no limit.
func longest(a, b clock.Millis) clock.Millis {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}
