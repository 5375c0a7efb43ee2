package member

import "github.com/almondflow/almondflow/fleet"

// View is an immutable snapshot of the state of the listed VMs. It stores only deviations
// from a healthy fleet, which keeps a change cheap to publish.
type View struct {
	version         uint64
	self            fleet.ID
	selfQuarantined bool
	list            *fleet.List
	statuses        map[fleet.ID]Status
	quarantined     map[fleet.ID]struct{}
	members         []Member
}

// Member is the state of one other VM in a View.
type Member struct {
	id               fleet.ID
	status           Status
	quarantined      bool
	startIncarnation uint64
}

// ID returns the identity of the VM.
func (m *Member) ID() fleet.ID { return m.id }

// Status returns the status of the VM.
func (m *Member) Status() Status { return m.status }

// Alive reports whether packets may be forwarded to the VM, as View.Alive does.
func (m *Member) Alive() bool { return m.status < Unreachable }

// Quarantined reports whether the VM's process is known to be younger than the quarantine.
func (m *Member) Quarantined() bool { return m.quarantined }

// StartIncarnation returns the incarnation with which the VM's process started, or 0 if it
// is unknown. When it changes, the VM has lost its records.
func (m *Member) StartIncarnation() uint64 { return m.startIncarnation }

// Version returns the number of the view, which rises with every change.
func (v *View) Version() uint64 { return v.version }

// Alive reports whether packets may be forwarded to a VM: it is listed, not marked lost,
// and neither unreachable nor left. Suspected members count as alive until the suspicion
// times out. The daemon itself is always alive.
func (v *View) Alive(id fleet.ID) bool {
	if id == v.self {
		return true
	}
	if v.list == nil || v.statuses[id] >= Unreachable {
		return false
	}
	vm, listed := v.list.Find(id)
	return listed && vm.State() != fleet.Lost
}

// Quarantined reports whether a VM's process is known to be younger than the quarantine.
func (v *View) Quarantined(id fleet.ID) bool {
	if id == v.self {
		return v.selfQuarantined
	}
	_, found := v.quarantined[id]
	return found
}

// Status returns the status of a listed VM, which is Alive unless known otherwise.
func (v *View) Status(id fleet.ID) Status {
	if status, ok := v.statuses[id]; ok {
		return status
	}
	return Alive
}

// Members returns the other listed VMs that are not marked lost, in the order of the
// list. Callers must not modify the slice.
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
		selfQuarantined: m.lastTick-m.startTime < m.quarantine,
		list:            m.list,
		statuses:        make(map[fleet.ID]Status),
		quarantined:     make(map[fleet.ID]struct{}, len(m.quarantinedUntil)),
	}
	if m.view != nil {
		v.version = m.view.version + 1
	}
	for id := range m.quarantinedUntil {
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
			v.statuses[id] = p.status
		}
		v.members = append(v.members, Member{id: id, status: p.status, quarantined: v.Quarantined(id), startIncarnation: p.startIncarnation})
	}
}
