package member

import "github.com/almondflow/almondflow/fleet"

// View is an immutable snapshot of what a daemon believes of the listed VMs. Only what
// deviates from a healthy fleet is stored, so that a change costs little to publish.
type View struct {
	version         uint64
	self            fleet.ID
	selfQuarantined bool
	list            *fleet.List
	down            map[fleet.ID]Status
	quarantined     map[fleet.ID]struct{}
	members         []Member
}

// Member is what a View says of one other VM.
type Member struct {
	id          fleet.ID
	status      Status
	quarantined bool
	run         uint64
}

// ID returns the identity of the VM.
func (m *Member) ID() fleet.ID { return m.id }

// Status returns what is believed of the VM.
func (m *Member) Status() Status { return m.status }

// Alive tells the same as View.Alive.
func (m *Member) Alive() bool { return m.status < Unreachable }

// Quarantined tells the same as View.Quarantined.
func (m *Member) Quarantined() bool { return m.quarantined }

// Run returns the incarnation with which the VM's process started, 0 while unknown. A
// change means that the VM has lost its records.
func (m *Member) Run() uint64 { return m.run }

// Version rises with every change of the view.
func (v *View) Version() uint64 { return v.version }

// Alive tells whether packets may be passed to a VM: it is listed, not marked lost, and
// neither unreachable nor gone. Suspected members count as alive until their time to
// refute is over. The daemon itself is always alive.
func (v *View) Alive(id fleet.ID) bool {
	if id == v.self {
		return true
	}
	if v.list == nil || v.down[id] >= Unreachable {
		return false
	}
	vm, listed := v.list.Find(id)
	return listed && vm.State() != fleet.Lost
}

// Quarantined tells whether a VM's process is known to be younger than the quarantine.
func (v *View) Quarantined(id fleet.ID) bool {
	if id == v.self {
		return v.selfQuarantined
	}
	_, fresh := v.quarantined[id]
	return fresh
}

// Status returns what is believed of a listed VM. Members without news are alive.
func (v *View) Status(id fleet.ID) Status {
	if status, ok := v.down[id]; ok {
		return status
	}
	return Alive
}

// Members returns the other listed VMs that are not marked lost, in the order of the
// list. Callers must not change the slice.
func (v *View) Members() []Member { return v.members }

// View returns the current snapshot.
func (m *Machine) View() *View {
	if !m.dirty {
		return m.view
	}
	m.dirty = false
	v := &View{
		version:         1,
		self:            m.self,
		selfQuarantined: m.lastTick-m.started < m.quarantine,
		list:            m.list,
		down:            make(map[fleet.ID]Status),
		quarantined:     make(map[fleet.ID]struct{}, len(m.fresh)),
	}
	if m.view != nil {
		v.version = m.view.version + 1
	}
	for id := range m.fresh {
		v.quarantined[id] = struct{}{}
	}
	v.addMembers(m.peers)
	m.view = v
	return v
}

func (v *View) addMembers(peers map[fleet.ID]*peer) {
	if v.list == nil {
		return
	}
	v.members = make([]Member, 0, len(peers))
	vms := v.list.VMs()
	for i := range vms {
		id := vms[i].ID()
		p := peers[id]
		if p == nil {
			continue
		}
		if p.status != Alive {
			v.down[id] = p.status
		}
		v.members = append(v.members, Member{id: id, status: p.status, quarantined: v.Quarantined(id), run: p.run})
	}
}
