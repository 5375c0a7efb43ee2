// Package fleet describes the entry VMs: the published list, the failure domains and
// the ranking that names the holders of each flow.
package fleet

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ID is the stable identity of an entry VM or failure domain, derived from its name.
type ID uint64

// NewID derives the identity of a name.
func NewID(name string) ID {
	return ID(xxhash.Sum64String(name))
}

// State is what the published list says of an entry VM.
type State uint8

// States of an entry VM.
const (
	// Serving VMs hold flows and place new ones.
	Serving State = iota + 1
	// Leaving VMs hold what they have and hand it over. They rank no more.
	Leaving
	// Lost VMs are gone for good by the word of the operator.
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

// ParseState converts the name used in the published list.
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

// NewVM builds a VM. dataAddress takes Geneve datagrams, peerAddress grpc calls.
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

// ID returns the identity derived from the name.
func (v *VM) ID() ID { return v.id }

// Name returns the name.
func (v *VM) Name() string { return v.name }

// Domain returns the name of the failure domain.
func (v *VM) Domain() string { return v.domain }

// DataAddress returns where the VM takes Geneve datagrams.
func (v *VM) DataAddress() netip.AddrPort { return v.dataAddress }

// PeerAddress returns where the VM takes calls from other daemons.
func (v *VM) PeerAddress() netip.AddrPort { return v.peerAddress }

// State returns what the list says of the VM.
func (v *VM) State() State { return v.state }

// List is one version of the published list of entry VMs. It is immutable.
type List struct {
	version uint64
	vms     []VM
	index   map[ID]int
}

// NewList builds a list sorted by name. The caller has checked that names and their
// identities are unique.
func NewList(version uint64, vms []VM) *List {
	l := &List{version: version, vms: slices.Clone(vms), index: make(map[ID]int, len(vms))}
	slices.SortFunc(l.vms, func(a, b VM) int { return strings.Compare(a.name, b.name) })
	for i := range l.vms {
		l.index[l.vms[i].id] = i
	}
	return l
}

// Version returns the version, which only rises.
func (l *List) Version() uint64 { return l.version }

// Len returns the number of entry VMs in any state.
func (l *List) Len() int { return len(l.vms) }

// VMs returns the entry VMs sorted by name. Callers must not change them.
func (l *List) VMs() []VM { return l.vms }

// Find returns the VM with the identity.
func (l *List) Find(id ID) (*VM, bool) {
	i, ok := l.index[id]
	if !ok {
		return nil, false
	}
	return &l.vms[i], true
}

// Domains returns the names of the failure domains with serving VMs, sorted.
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
