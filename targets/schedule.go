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
	// changed is when the state last changed, if hasFailed says that it ever did.
	changed   clock.Millis
	hasFailed bool
}

// assign returns the hosts that the VM self probes, sorted by identity. The hosts and the
// VMs of a domain are laid on one ring, sorted by identity, and each host is probed by the
// VMs that stand at its place and after it, so that all VMs have equally many to probe,
// give or take a few. Hosts of domains without VMs are laid on the ring of all VMs.
func assign(snapshot *table.Snapshot, list *fleet.List, self fleet.ID) []*table.Host {
	vm, ok := list.Find(self)
	if !ok {
		return nil
	}
	domains := list.Domains()
	var own, orphans []*table.Host
	for _, p := range snapshot.Pools() {
		for i := range p.Hosts() {
			h := &p.Hosts()[i]
			switch {
			case h.Mark() == table.Leaving:
			case h.Domain() == vm.Domain():
				own = append(own, h)
			case !slices.Contains(domains, h.Domain()):
				orphans = append(orphans, h)
			}
		}
	}
	mine := append(onRing(own, ringOf(list, vm.Domain()), self), onRing(orphans, ringOf(list, ""), self)...)
	sortHosts(mine)
	return mine
}

func sortHosts(hosts []*table.Host) {
	slices.SortFunc(hosts, func(a, b *table.Host) int { return cmp.Compare(a.ID(), b.ID()) })
}

// ringOf returns the sorted serving VMs of a domain, or of all where it is empty.
func ringOf(list *fleet.List, domain string) []fleet.ID {
	var ring []fleet.ID
	for i := range list.VMs() {
		vm := &list.VMs()[i]
		if vm.State() == fleet.Serving && (domain == "" || vm.Domain() == domain) {
			ring = append(ring, vm.ID())
		}
	}
	slices.Sort(ring)
	return ring
}

// onRing returns the hosts that self probes where the ring probes them.
func onRing(hosts []*table.Host, ring []fleet.ID, self fleet.ID) []*table.Host {
	place, ok := slices.BinarySearch(ring, self)
	if !ok {
		return nil
	}
	sortHosts(hosts)
	var mine []*table.Host
	for i, h := range hosts {
		first := i * len(ring) / len(hosts)
		if behind := (place - first + len(ring)) % len(ring); behind < proberCount {
			mine = append(mine, h)
		}
	}
	return mine
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
}

// advance sets the time of the next probe.
func (d *duty) advance(now clock.Millis, self fleet.ID) {
	d.round++
	half := probeJitter / 2
	d.next = now + probeInterval - half + delay(self, d.probe.id, d.round, probeJitter)
}
