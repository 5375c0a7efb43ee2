package targets

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

const (
	// proberCount is the number of daemons that probe one host, where the domain has so
	// many. A majority of them decides.
	proberCount = 3
	// probeInterval is the time between two probes of a host by one daemon.
	probeInterval = 5 * clock.Second
	// probeJitter bounds the random part of the interval.
	probeJitter = 1 * clock.Second
	// dueLimit is the number of probes that start at one call of Due. What is left over
	// starts at the next calls.
	dueLimit = 16
)

// Probe is a request to probe a host.
type Probe struct {
	id       flow.TargetID
	endpoint flow.Endpoint
	protocol flow.Protocol
}

// NewProbe builds a Probe.
func NewProbe(id flow.TargetID, endpoint flow.Endpoint, protocol flow.Protocol) Probe {
	return Probe{id: id, endpoint: endpoint, protocol: protocol}
}

// ID returns the target.
func (p *Probe) ID() flow.TargetID { return p.id }

// Endpoint returns the address and port of the target.
func (p *Probe) Endpoint() flow.Endpoint { return p.endpoint }

// Protocol returns the protocol that the target serves.
func (p *Probe) Protocol() flow.Protocol { return p.protocol }

// duty is a host that this daemon probes.
type duty struct {
	probe Probe
	next  clock.Millis
	round uint64
	state hysteresis
	// changed is when the state last changed, told when it was last reported.
	changed clock.Millis
	told    clock.Millis
	news    bool
}

// assign returns the hosts that the VM self probes. The hosts and the VMs of a domain
// are laid on one ring, sorted by identity, and each host is probed by the VMs that
// stand at its place and after it, so that all VMs have equally many to probe, give or
// take a few.
func assign(snapshot *table.Snapshot, list *fleet.List, self fleet.ID) []*table.Host {
	rings := ringsOf(list)
	everyone := allOf(rings)
	var mine []*table.Host
	for domain, hosts := range hostsByDomain(snapshot) {
		ring := rings[domain]
		if len(ring) == 0 {
			ring = everyone
		}
		place, ok := slices.BinarySearch(ring, self)
		if !ok {
			continue
		}
		for i, h := range hosts {
			first := i * len(ring) / len(hosts)
			if behind := (place - first + len(ring)) % len(ring); behind < proberCount {
				mine = append(mine, h)
			}
		}
	}
	slices.SortFunc(mine, func(a, b *table.Host) int { return cmp.Compare(a.ID(), b.ID()) })
	return mine
}

// ringsOf returns the sorted serving VMs of each domain.
func ringsOf(list *fleet.List) map[string][]fleet.ID {
	rings := make(map[string][]fleet.ID)
	for i := range list.VMs() {
		vm := &list.VMs()[i]
		if vm.State() == fleet.Serving {
			rings[vm.Domain()] = append(rings[vm.Domain()], vm.ID())
		}
	}
	for _, ring := range rings {
		slices.Sort(ring)
	}
	return rings
}

func allOf(rings map[string][]fleet.ID) []fleet.ID {
	var all []fleet.ID
	for _, ring := range rings {
		all = append(all, ring...)
	}
	slices.Sort(all)
	return all
}

// hostsByDomain returns the hosts that may take new flows, sorted by identity.
func hostsByDomain(snapshot *table.Snapshot) map[string][]*table.Host {
	domains := make(map[string][]*table.Host)
	for _, p := range snapshot.Pools() {
		for i := range p.Hosts() {
			h := &p.Hosts()[i]
			if h.Mark() != table.Leaving {
				domains[h.Domain()] = append(domains[h.Domain()], h)
			}
		}
	}
	for _, hosts := range domains {
		slices.SortFunc(hosts, func(a, b *table.Host) int { return cmp.Compare(a.ID(), b.ID()) })
	}
	return domains
}

// probersOf returns how many daemons probe a host of the domain.
func probersOf(vms int) int {
	return max(1, min(vms, proberCount))
}

// delay returns a time below span that depends on the VM, the target and the round, so
// that no two daemons probe in step however they were started.
func delay(self fleet.ID, id flow.TargetID, round uint64, span clock.Millis) clock.Millis {
	return clock.Millis(fleet.Score(fleet.Score(uint64(id), self), fleet.ID(round)) % uint64(span))
}

// start takes up the duty at now. The first probe follows within an interval.
func (d *duty) start(now clock.Millis, self fleet.ID) {
	d.next = now + delay(self, d.probe.id, 0, probeInterval)
	d.told = now
}

// advance sets the time of the next probe.
func (d *duty) advance(now clock.Millis, self fleet.ID) {
	d.round++
	half := probeJitter / 2
	d.next = now + probeInterval - half + delay(self, d.probe.id, d.round, probeJitter)
}
