package member

import (
	"math/bits"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// peer is another member of the current list.
type peer struct {
	status           Status
	incarnation      uint64
	suspectedAt      clock.Millis // when it was last suspected
	suspectedLocally bool         // whether this daemon's own probe went unanswered
	extraProbes      int          // additional probes sent since it was suspected
	startIncarnation uint64       // incarnation with which its process started, 0 if unknown
}

func (m *Machine) updatePeers(list *fleet.List) {
	vms := list.VMs()
	peers := make(map[fleet.ID]*peer, len(vms))
	for i := range vms {
		id := vms[i].ID()
		if id == m.self || vms[i].State() == fleet.Lost {
			continue
		}
		peers[id] = m.peers[id]
		if peers[id] == nil {
			peers[id] = &peer{status: Alive}
		}
	}
	m.peers = peers
	isRemoved := func(id fleet.ID) bool { return peers[id] == nil }
	m.suspects = slices.DeleteFunc(m.suspects, isRemoved)
	m.outstanding = slices.DeleteFunc(m.outstanding, func(p probe) bool { return isRemoved(p.subject) })
	m.updates.removeIf(func(id fleet.ID) bool { return id != m.self && isRemoved(id) })
	for id := range m.quarantinedUntil {
		if isRemoved(id) {
			delete(m.quarantinedUntil, id)
		}
	}
}

// mergeSenderState merges what a member reports about itself.
func (m *Machine) mergeSenderState(now clock.Millis, from fleet.ID, message *Message) {
	p := m.peers[from]
	if message.Incarnation < p.incarnation {
		return
	}
	if message.Incarnation > p.incarnation {
		m.setStatus(now, from, Update{ID: from, Status: Alive, Incarnation: message.Incarnation})
	}
	restarted := message.StartIncarnation != p.startIncarnation
	if restarted {
		p.startIncarnation = message.StartIncarnation
		m.dirty = true
	}
	until := now - message.ProcessAge + m.quarantine
	if _, known := m.quarantinedUntil[from]; until > now && (restarted || !known) {
		m.quarantinedUntil[from] = until
		m.dirty = true
	}
}

// applyUpdate merges the status of a member as reported by any sender.
func (m *Machine) applyUpdate(now clock.Millis, u Update) {
	if u.ID == m.self {
		m.refute(now, u)
		return
	}
	p := m.peers[u.ID]
	if p == nil || u.Status < Alive || u.Status > Left {
		return
	}
	if u.Incarnation < p.incarnation || (u.Incarnation == p.incarnation && u.Status <= p.status) {
		return
	}
	m.setStatus(now, u.ID, u)
}

// refute raises this daemon's incarnation to override a report that it is not alive.
func (m *Machine) refute(now clock.Millis, u Update) {
	if u.Status == Alive || u.Incarnation < m.incarnation || m.leaving {
		return
	}
	m.incarnation = u.Incarnation + 1
	m.updates.add(Update{ID: m.self, Status: Alive, Incarnation: m.incarnation})
	m.sink.Event(Event{At: now, Kind: Refuted, Member: m.self, Incarnation: m.incarnation})
}

func (m *Machine) setStatus(now clock.Millis, id fleet.ID, u Update) {
	p := m.peers[id]
	before := p.status
	p.status = u.Status
	p.incarnation = u.Incarnation
	m.updates.add(u)
	if before == u.Status {
		return
	}
	m.suspects = slices.DeleteFunc(m.suspects, func(s fleet.ID) bool { return s == id })
	if u.Status == Suspected {
		p.suspectedAt = now
		p.suspectedLocally = false
		p.extraProbes = 0
		m.suspects = append(m.suspects, id)
	}
	m.dirty = true
	m.sink.Event(Event{
		At:          now,
		Kind:        StatusChanged,
		Member:      id,
		Before:      before,
		After:       u.Status,
		Incarnation: u.Incarnation,
	})
}

// markSuspected marks a member that answered neither direct nor indirect probes.
func (m *Machine) markSuspected(now clock.Millis, id fleet.ID) {
	p := m.peers[id]
	if p != nil && p.status == Alive {
		m.setStatus(now, id, Update{ID: id, Status: Suspected, Incarnation: p.incarnation})
		p.suspectedLocally = true
	}
}

// expireSuspicions marks members unreachable that did not refute a suspicion in time. The
// suspects are in the order in which they were suspected.
func (m *Machine) expireSuspicions(now clock.Millis) {
	for len(m.suspects) > 0 {
		id := m.suspects[0]
		p := m.peers[id]
		if now-p.suspectedAt < m.suspicionTimeout() {
			return
		}
		m.setStatus(now, id, Update{ID: id, Status: Unreachable, Incarnation: p.incarnation})
	}
}

// probeSuspects probes suspects more often than other members. Each probe informs the
// suspect of the suspicion, so that losing one more message does not make it unreachable.
func (m *Machine) probeSuspects(now clock.Millis) {
	for _, id := range m.suspects[:min(len(m.suspects), maxProbedSuspects)] {
		p := m.peers[id]
		if (p.suspectedLocally || m.probesEveryMember()) && now-p.suspectedAt >= clock.Millis(p.extraProbes)*suspectProbePeriod {
			p.extraProbes++
			m.sendProbe(now, probe{subject: id})
		}
	}
}

// probesEveryMember reports whether this daemon probes all members periodically, in which
// case an additional probe needs no new connection.
func (m *Machine) probesEveryMember() bool { return len(m.peers) <= maxProbedMembers }

// suspicionTimeout grows with the logarithm of the fleet size, like the time that a
// suspicion needs to reach its subject and the refutation to come back.
func (m *Machine) suspicionTimeout() clock.Millis {
	return baseSuspicionTimeout * clock.Millis(max(1, bits.Len(uint(len(m.peers)))/3)) //nolint:gosec // a length is positive
}

// maxTransmissions returns how often an update is sent before it is dropped.
func (m *Machine) maxTransmissions() int {
	return 3 * bits.Len(uint(len(m.peers)))
}

func (m *Machine) expireQuarantines(now clock.Millis) {
	if m.view != nil && m.view.selfQuarantined && now-m.startTime >= m.quarantine {
		m.dirty = true
	}
	for id, until := range m.quarantinedUntil {
		if now >= until {
			delete(m.quarantinedUntil, id)
			m.dirty = true
		}
	}
}
