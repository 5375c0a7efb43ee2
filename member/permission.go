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

// Permission rests on answers of more than half of each list from the settled one to the
// one in force that they are on one of these. So whoever settles a newer list, which needs
// more than half of one of them to have moved there, waits until these answers expire. A
// daemon that was never on one of the lists cannot compare holders and has to wait.
func (m *Machine) Permission(now clock.Millis) Permission {
	if !m.mayTakePart(now) {
		return Permission{}
	}
	version, settled := m.listVersion(), m.lease.settled
	inRange := func(e *evidence) bool { return e.list >= settled && e.list <= version }
	until := m.majorityUntil(now, &m.lease.current, inRange)
	own := m.ownEvidence()
	for v := settled; v < version && until > now && !m.faults.newestListOnly; v++ {
		p := m.lease.find(v)
		if p == nil || !own.visitedList(v) {
			return Permission{}
		}
		until = min(until, m.majorityUntil(now, p, inRange))
	}
	if until <= now {
		return Permission{}
	}
	return Permission{List: version, Settled: settled, Until: until}
}

// majorityUntil returns for how long more than half of a list are known to have said
// something, which this daemon says too, or 0. It ends early when the daemon stops
// ticking, so that a process that wakes from a pause does not act before it noticed.
func (m *Machine) majorityUntil(now clock.Millis, p *Predecessor, said func(*evidence) bool) clock.Millis {
	total := m.electors(p)
	needed := total/2 + 1
	if total == 0 || p.names(m.self) {
		needed--
	}
	until := now + m.leaseSpan
	if needed > 0 {
		var sent []clock.Millis
		for id, e := range m.lease.evidence {
			if e.established && said(&e) && p.names(id) && !m.lease.isLost(id) {
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

// electors counts the members of a list that the operator has not declared lost since.
func (m *Machine) electors(p *Predecessor) int {
	count := len(p.Members)
	for id := range m.lease.lost {
		if p.names(id) {
			count--
		}
	}
	return count
}

func (m *Machine) mayTakePart(now clock.Millis) bool {
	return m.list != nil && m.listed && m.isElector(m.self) &&
		m.lease.established && m.lease.settled != 0 && m.lease.settled <= m.listVersion() &&
		now-m.started >= m.quarantine && !m.paused && !m.leaving && now-m.lastTick <= pauseGap
}
