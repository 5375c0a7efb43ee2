// Package fleet describes the entry VMs of the fleet: the published member list, the
// failure domains, and the ranking that selects the holders of each flow.
package fleet

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ID identifies an entry VM or a failure domain. It is a hash of the name.
type ID uint64

// NewID returns the ID of the entry VM or failure domain with the given name.
func NewID(name string) ID {
	return ID(xxhash.Sum64String(name))
}

// State is the state of an entry VM in the published list.
type State uint8

// States of an entry VM.
const (
	// Serving is the state of a VM that holds flows and accepts new ones.
	Serving State = iota + 1
	// Leaving is the state of a VM that keeps its flows until it has handed them over. It is
	// no longer ranked, so that it gets no new flows.
	Leaving
	// Lost is the state of a VM that the operator declared permanently lost.
	Lost
)

// String returns the name used in the published list.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Lost:
		return "lost"
	default:
		return "unknown"
	}
}

// ParseState returns the state with the name used in the published list. It reports false
// for an unknown name.
func ParseState(name string) (State, bool) {
	for _, s := range []State{Serving, Leaving, Lost} {
		if s.String() == name {
			return s, true
		}
	}
	return 0, false
}

// VM is one entry VM of the published list.
type VM struct {
	id          ID
	name        string
	domain      string
	dataAddress netip.AddrPort
	peerAddress netip.AddrPort
	state       State
}

// NewVM returns a VM that receives Geneve datagrams on dataAddress and gRPC calls of other
// daemons on peerAddress.
func NewVM(name, domain string, dataAddress, peerAddress netip.AddrPort, state State) VM {
	return VM{
		id:          NewID(name),
		name:        name,
		domain:      domain,
		dataAddress: dataAddress,
		peerAddress: peerAddress,
		state:       state,
	}
}

// ID returns the ID, which is derived from the name.
func (v *VM) ID() ID { return v.id }

// Name returns the name.
func (v *VM) Name() string { return v.name }

// Domain returns the name of the failure domain.
func (v *VM) Domain() string { return v.domain }

// DataAddress returns the address on which the VM receives Geneve datagrams.
func (v *VM) DataAddress() netip.AddrPort { return v.dataAddress }

// PeerAddress returns the address on which the VM receives gRPC calls of other daemons.
func (v *VM) PeerAddress() netip.AddrPort { return v.peerAddress }

// State returns the state of the VM in the list.
func (v *VM) State() State { return v.state }

// List is one version of the published list of entry VMs. It is immutable.
type List struct {
	version uint64
	// vms is sorted by name.
	vms []VM
	// index maps the ID of a VM to its position in vms.
	index map[ID]int
}

// NewList returns a list of the given VMs, whose IDs must be unique.
func NewList(version uint64, vms []VM) *List {
	l := &List{version: version, vms: slices.Clone(vms), index: make(map[ID]int, len(vms))}
	slices.SortFunc(l.vms, func(a, b VM) int { return strings.Compare(a.name, b.name) })
	for i := range l.vms {
		l.index[l.vms[i].id] = i
	}
	return l
}

// Version returns the version number. Newer lists have higher numbers.
func (l *List) Version() uint64 { return l.version }

// Len returns the number of entry VMs, whatever their state.
func (l *List) Len() int { return len(l.vms) }

// VMs returns the entry VMs sorted by name. Callers must not change them.
func (l *List) VMs() []VM { return l.vms }

// Find returns the VM with the given ID. It reports false if there is none.
func (l *List) Find(id ID) (*VM, bool) {
	i, ok := l.index[id]
	if !ok {
		return nil, false
	}
	return &l.vms[i], true
}

// Domains returns the sorted names of the failure domains that have serving VMs.
func (l *List) Domains() []string {
	var names []string
	for i := range l.vms {
		if l.vms[i].state == Serving && !slices.Contains(names, l.vms[i].domain) {
			names = append(names, l.vms[i].domain)
		}
	}
	slices.Sort(names)
	return names
}
