package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// Permission says under which list a daemon may take part in decisions, and how far back
// other daemons may still act on older lists. A flow that has the same holders under
// every list from Settled to List may be decided at once, because everyone who votes on
// it asks the same holders. Other flows wait until Settled has reached List.
type Permission struct {
	// List is the version in force here. It is 0 when the daemon may not vote.
	List uint64
	// Settled is the version below which no daemon votes any more.
	Settled uint64
	// Until is the end of the permission on the daemon's own clock, exclusive.
	Until clock.Millis
}

// Permission rests on answers of more than half of the list that they are on no newer
// list, and on none below the settled one, as a process that restarted may be. A daemon
// on a newer list takes this one for settled only once more than half have moved there
// and the answers that they gave before have expired, just as for Voting.
func (m *Machine) Permission(now clock.Millis) Permission {
	if !m.mayTakePart(now) {
		return Permission{}
	}
	version, settled := m.listVersion(), m.lease.settled
	until := m.majorityUntil(now, func(e *evidence) bool { return e.list >= settled && e.list <= version })
	if until <= now {
		return Permission{}
	}
	return Permission{List: version, Settled: settled, Until: until}
}

// majorityUntil returns for how long more than half of the list, this daemon included, are
// known to have said something, or 0. It ends early when the daemon stops ticking, so
// that a process that wakes from a pause does not act before it noticed.
func (m *Machine) majorityUntil(now clock.Millis, said func(*evidence) bool) clock.Millis {
	until := now + m.leaseSpan
	if needed := m.electorate() / 2; needed > 0 { // besides this daemon
		var sent []clock.Millis
		for id, e := range m.lease.evidence {
			if e.established && said(&e) && m.isElector(id) {
				sent = append(sent, e.sent)
			}
		}
		if len(sent) < needed {
			return 0
		}
		slices.Sort(sent)
		until = sent[len(sent)-needed] + m.leaseSpan
	}
	return min(until, m.lastTick+pauseGap)
}

func (m *Machine) mayTakePart(now clock.Millis) bool {
	return m.list != nil && m.listed && m.isElector(m.self) &&
		m.lease.established && m.lease.settled != 0 && m.lease.settled <= m.listVersion() &&
		now-m.started >= m.quarantine && !m.paused && !m.leaving && now-m.lastTick <= pauseGap
}
