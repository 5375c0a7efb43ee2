package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// Permission lets a daemon vote on non-repeatable flows. A flow that has the same holders
// under every list from SettledVersion to ListVersion may be decided at once, because every
// daemon that votes on it asks the same holders. Other flows have to wait until
// SettledVersion has reached ListVersion.
type Permission struct {
	// ListVersion is the version of the daemon's current list, or 0 if it has no permission.
	ListVersion uint64
	// SettledVersion is the version below which no daemon votes any more.
	SettledVersion uint64
	// ExpiresAt is the end of the permission on the daemon's own clock, exclusive.
	ExpiresAt clock.Millis
}

// Permission returns the permission of this daemon, or the zero value if it has none. It
// requires that a majority of each list from the settled one to the current one reported to
// be on one of these lists. A daemon that settles a newer list needs a majority of one of
// them to have moved to the newer list, and therefore waits until these reports have
// expired. A daemon that skipped one of the lists cannot compare holders and gets no
// permission until the lists are settled.
func (m *Machine) Permission(now clock.Millis) Permission {
	if !m.canParticipate(now) {
		return Permission{}
	}
	version, settled := m.listVersion(), m.lease.settled
	inRange := func(s *memberState) bool { return s.list >= settled && s.list <= version }
	until := m.majorityExpiresAt(now, &m.lease.current, inRange)
	own := m.ownState()
	for v := settled; v < version && until > now && !m.defects.checkNewestListOnly; v++ {
		p := m.lease.findPredecessor(v)
		if p == nil || !own.visitedList(v) {
			return Permission{}
		}
		until = min(until, m.majorityExpiresAt(now, p, inRange))
	}
	if until <= now {
		return Permission{}
	}
	return Permission{ListVersion: version, SettledVersion: settled, ExpiresAt: until}
}

// majorityExpiresAt returns until when a majority of a list is known to have a matching
// state, or 0 if there is none. The caller's own state must match; it counts if the list
// names this daemon. A list without voting members needs no majority. The result is at
// most maxTickGap after the last tick, so that a process that was paused cannot act before
// it detects the pause.
func (m *Machine) majorityExpiresAt(now clock.Millis, p *ListMembers, matches func(*memberState) bool) clock.Millis {
	total := m.countVotingMembers(p)
	needed := total/2 + 1
	if total == 0 || p.contains(m.self) {
		needed--
	}
	until := now + m.leaseDuration
	if needed > 0 {
		var sent []clock.Millis
		for id, s := range m.lease.states {
			if s.established && matches(&s) && p.contains(id) && !m.lease.isLost(id) {
				sent = append(sent, s.sent)
			}
		}
		if len(sent) < needed {
			return 0
		}
		slices.Sort(sent)
		until = sent[len(sent)-needed] + m.leaseDuration
	}
	return min(until, m.lastTick+maxTickGap)
}

// countVotingMembers returns the number of members of a list that the operator has not
// marked lost.
func (m *Machine) countVotingMembers(p *ListMembers) int {
	count := len(p.Members)
	for id := range m.lease.lost {
		if p.contains(id) {
			count--
		}
	}
	return count
}

func (m *Machine) canParticipate(now clock.Millis) bool {
	return m.list != nil && m.selfListed && m.isVotingMember(m.self) &&
		m.lease.established && m.lease.settled != 0 && m.lease.settled <= m.listVersion() &&
		now-m.startTime >= m.quarantine && !m.paused && !m.leaving && now-m.lastTick <= maxTickGap
}
