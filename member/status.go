package member

import (
	"math/bits"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// peer is another member of the list in force.
type peer struct {
	status      Status
	incarnation uint64
	since       clock.Millis // when it was suspected
	own         bool         // whether this daemon itself got no answer
	reminders   int          // probes that told it so since then
	run         uint64       // incarnation with which its process started, 0 if unknown
}

func (m *Machine) replacePeers(list *fleet.List) {
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
	gone := func(id fleet.ID) bool { return peers[id] == nil }
	m.suspects = slices.DeleteFunc(m.suspects, gone)
	m.outstanding = slices.DeleteFunc(m.outstanding, func(p probe) bool { return gone(p.target) })
	m.rumors.drop(func(id fleet.ID) bool { return id != m.self && gone(id) })
	for id := range m.fresh {
		if gone(id) {
			delete(m.fresh, id)
		}
	}
}

// hearMember takes what a member says of itself.
func (m *Machine) hearMember(now clock.Millis, from fleet.ID, message *Message) {
	p := m.peers[from]
	if message.Incarnation < p.incarnation {
		return
	}
	if message.Incarnation > p.incarnation {
		m.setStatus(now, from, Update{ID: from, Status: Alive, Incarnation: message.Incarnation})
	}
	restarted := message.Run != p.run
	if restarted {
		p.run = message.Run
		m.dirty = true
	}
	until := now - message.Age + m.quarantine
	if _, known := m.fresh[from]; until > now && (restarted || !known) {
		m.fresh[from] = until
		m.dirty = true
	}
}

// applyUpdate takes what a third party says of a member.
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

// refute answers a suspicion against this daemon with a higher incarnation.
func (m *Machine) refute(now clock.Millis, u Update) {
	if u.Status == Alive || u.Incarnation < m.incarnation || m.leaving {
		return
	}
	m.incarnation = u.Incarnation + 1
	m.rumors.add(Update{ID: m.self, Status: Alive, Incarnation: m.incarnation})
	m.sink.Event(Event{At: now, Kind: Refuted, Member: m.self, Incarnation: m.incarnation})
}

func (m *Machine) setStatus(now clock.Millis, id fleet.ID, u Update) {
	p := m.peers[id]
	before := p.status
	p.status = u.Status
	p.incarnation = u.Incarnation
	m.rumors.add(u)
	if before == u.Status {
		return
	}
	m.suspects = slices.DeleteFunc(m.suspects, func(s fleet.ID) bool { return s == id })
	if u.Status == Suspected {
		p.since = now
		p.own = false
		p.reminders = 0
		m.suspects = append(m.suspects, id)
	}
	m.dirty = true
	m.sink.Event(Event{
		At: now, Kind: StatusChanged, Member: id, Before: before, After: u.Status, Incarnation: u.Incarnation,
	})
}

// suspect marks a member that answered neither directly nor through others.
func (m *Machine) suspect(now clock.Millis, id fleet.ID) {
	p := m.peers[id]
	if p != nil && p.status == Alive {
		m.setStatus(now, id, Update{ID: id, Status: Suspected, Incarnation: p.incarnation})
		p.own = true
	}
}

// expireSuspicions gives up members that had time enough to refute. The suspects are
// in the order in which they were suspected.
func (m *Machine) expireSuspicions(now clock.Millis) {
	for len(m.suspects) > 0 {
		id := m.suspects[0]
		p := m.peers[id]
		if now-p.since < m.suspicionTimeout() {
			return
		}
		m.setStatus(now, id, Update{ID: id, Status: Unreachable, Incarnation: p.incarnation})
	}
}

// remindSuspects probes suspects more often than other members. The probe tells them of
// the suspicion, so that one lost message more does not make them unreachable.
func (m *Machine) remindSuspects(now clock.Millis) {
	for _, id := range m.suspects[:min(len(m.suspects), maximumReminded)] {
		p := m.peers[id]
		if (p.own || m.probesAll()) && now-p.since >= clock.Millis(p.reminders)*reminderPeriod {
			p.reminders++
			m.sendProbe(now, probe{target: id})
		}
	}
}

// probesAll tells whether all members are partners, so that a probe opens no connection.
func (m *Machine) probesAll() bool { return len(m.peers) <= maximumPartners }

// suspicionTimeout grows with the logarithm of the fleet, as the time does in which a
// suspicion reaches its subject and the refutation comes back.
func (m *Machine) suspicionTimeout() clock.Millis {
	return suspicionBase * clock.Millis(max(1, bits.Len(uint(len(m.peers)))/3)) //nolint:gosec // a length is positive
}

// transmissions is how often an update is sent before it is dropped.
func (m *Machine) transmissions() int {
	return 3 * bits.Len(uint(len(m.peers)))
}

func (m *Machine) expireQuarantines(now clock.Millis) {
	if m.view != nil && m.view.selfQuarantined && now-m.started >= m.quarantine {
		m.dirty = true
	}
	for id, until := range m.fresh {
		if now >= until {
			delete(m.fresh, id)
			m.dirty = true
		}
	}
}
