package front

import (
	"log/slog"
	"maps"
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// refusalEndTime is how long nothing must be refused until the refusal counts as ended, which bounds the log.
const refusalEndTime = clock.Second

// refusalKey names the openings of one priority to one pool.
type refusalKey struct {
	service  string
	regions  string // of the routes that the pool is for, or empty
	priority int
}

// refusalLog remembers which openings are refused, as last logged.
type refusalLog struct {
	refusedAt map[refusalKey]clock.Millis // when they were last refused
}

// refusalChange is the begin or the end of a refusal.
type refusalChange struct {
	pool    inband.AdmissionStatus
	share   admission.Share
	isBegin bool
}

// update returns the refusals that have begun or ended.
func (l *refusalLog) update(now clock.Millis, pools []inband.AdmissionStatus) []refusalChange {
	if l.refusedAt == nil {
		l.refusedAt = map[refusalKey]clock.Millis{}
	}
	var changes []refusalChange
	seen := map[refusalKey]bool{}
	for _, pool := range pools {
		for _, share := range pool.Shares {
			key := refusalKey{service: pool.Service, regions: regionNames(pool.AllowedRegions), priority: share.Priority}
			seen[key] = true
			if isBegin, isChange := l.updateShare(now, key, share.IsRefusing()); isChange {
				changes = append(changes, refusalChange{pool: pool, share: share, isBegin: isBegin})
			}
		}
	}
	maps.DeleteFunc(l.refusedAt, func(key refusalKey, _ clock.Millis) bool { return !seen[key] }) // their routes are gone
	return changes
}

// updateShare reports whether a refusal has begun or ended, and which of them.
func (l *refusalLog) updateShare(now clock.Millis, key refusalKey, isRefusing bool) (isBegin, isChange bool) {
	refusedAt, wasRefusing := l.refusedAt[key]
	switch {
	case isRefusing:
		l.refusedAt[key] = now
		return true, !wasRefusing
	case wasRefusing && now-refusedAt >= refusalEndTime:
		delete(l.refusedAt, key)
		return false, true
	default:
		return false, false
	}
}

// logRefusals logs which openings begin and cease to be refused for lack of room.
func (d *Daemon) logRefusals(now clock.Millis) {
	d.mu.Lock()
	changes := d.refusals.update(now, d.engine.AdmissionStatuses())
	d.mu.Unlock()
	for _, c := range changes {
		c.write(now, d.log)
	}
}

func (c *refusalChange) write(now clock.Millis, log *slog.Logger) {
	message := "refusal_ended"
	if c.isBegin {
		message = "refusal_began"
	}
	log.Warn(message, "at_ms", now, "pool", c.pool.Service, "regions", regionNames(c.pool.AllowedRegions),
		"priority", c.share.Priority, "share", c.share.Refused, "share_of_openings", c.share.RefusedOpenings,
		"hopeless", c.share.Hopeless, "refused", c.share.Count, "response_time_ms", int(c.pool.ResponseTimeMS),
		"slots", c.pool.Slots, "busy", int(c.pool.Busy), "news_age_ms", c.pool.NewsAgeMS)
}

// updateRefusals updates the counter and the gauge of each priority.
func (m *metrics) updateRefusals(pools []inband.AdmissionStatus) {
	counts, highest := map[int]int{}, map[int]float64{}
	for _, pool := range pools {
		for _, s := range pool.Shares {
			counts[s.Priority] += s.Count
			highest[s.Priority] = max(highest[s.Priority], s.Refused)
		}
	}
	for priority, share := range highest {
		scope := m.priorityScope(priority)
		scope.Gauge(refusedShareMetric.Name).Update(share)
		scope.Counter(refusedOpeningsMetric.Name).Inc(int64(max(0, counts[priority]-m.reportedRefused[priority])))
	}
	for priority := range m.reportedRefused {
		if _, isListed := highest[priority]; !isListed {
			m.priorityScope(priority).Gauge(refusedShareMetric.Name).Update(0) // its routes are gone
		}
	}
	m.reportedRefused = counts
}

// priorityScope returns the scope of the metrics of one priority.
func (m *metrics) priorityScope(priority int) tally.Scope {
	return m.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
}
