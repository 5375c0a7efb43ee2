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
	// proberCount is the number of daemons that probe each host, or all daemons of its domain
	// if they are fewer. A host counts as down if a majority of them reports it.
	proberCount = 3
	// probeInterval is the mean time between two probes of a host by one daemon.
	probeInterval = 5 * clock.Second
	// probeJitter is the range of the random part of the interval.
	probeJitter = 1 * clock.Second
	// maxStartedProbes is the largest number of probes that one call of TakeDueProbes
	// starts. The remaining ones are started by the next calls.
	maxStartedProbes = 16
)

// Probe is a request to probe a host.
type Probe struct {
	id       flow.TargetID
	endpoint flow.Endpoint
	protocol flow.Protocol
}

// NewProbe returns a request to probe the target with an ID at an endpoint. protocol is the
// protocol that the target serves.
func NewProbe(id flow.TargetID, endpoint flow.Endpoint, protocol flow.Protocol) Probe {
	return Probe{id: id, endpoint: endpoint, protocol: protocol}
}

// ID returns the ID of the target.
func (p *Probe) ID() flow.TargetID { return p.id }

// Endpoint returns the address and port of the target.
func (p *Probe) Endpoint() flow.Endpoint { return p.endpoint }

// Protocol returns the protocol that the target serves.
func (p *Probe) Protocol() flow.Protocol { return p.protocol }

// probeTask holds the schedule and the results of this daemon's probes of one host.
type probeTask struct {
	probe Probe
	next  clock.Millis
	round uint64
	state hysteresis
	// changed is when the state last changed. It is only valid if hasFailed is set.
	changed   clock.Millis
	hasFailed bool
}

// assignedHosts returns the hosts that the VM self probes, sorted by ID. The hosts and the
// VMs of a domain form one ring each, sorted by ID. Each host is probed by the VM at the
// corresponding position and by those that follow it, so that the numbers of hosts per VM
// differ only by a few. Hosts in domains without VMs are probed by the ring of all VMs.
func assignedHosts(snapshot *table.Snapshot, list *fleet.List, self fleet.ID) []*table.Host {
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
			case h.State() == table.Leaving:
			case h.Domain() == vm.Domain():
				own = append(own, h)
			case !slices.Contains(domains, h.Domain()):
				orphans = append(orphans, h)
			}
		}
	}
	assigned := append(hostsProbedBy(own, servingVMs(list, vm.Domain()), self), hostsProbedBy(orphans, servingVMs(list, ""), self)...)
	sortHosts(assigned)
	return assigned
}

func sortHosts(hosts []*table.Host) {
	slices.SortFunc(hosts, func(a, b *table.Host) int { return cmp.Compare(a.ID(), b.ID()) })
}

// servingVMs returns the sorted IDs of the serving VMs of a domain, or of all domains if
// domain is empty.
func servingVMs(list *fleet.List, domain string) []fleet.ID {
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

// hostsProbedBy returns the hosts that self probes if they are assigned to the VMs of the
// ring.
func hostsProbedBy(hosts []*table.Host, ring []fleet.ID, self fleet.ID) []*table.Host {
	position, ok := slices.BinarySearch(ring, self)
	if !ok {
		return nil
	}
	sortHosts(hosts)
	var assigned []*table.Host
	for i, h := range hosts {
		first := i * len(ring) / len(hosts)
		if offset := (position - first + len(ring)) % len(ring); offset < proberCount {
			assigned = append(assigned, h)
		}
	}
	return assigned
}

// expectedProbers returns the number of daemons that probe each host of a domain with the
// given number of VMs.
func expectedProbers(vmCount int) int {
	return max(1, min(vmCount, proberCount))
}

// hashedDelay returns a time below span that depends on the VM, the target and the round,
// so that daemons do not probe in step even if they are started together.
func hashedDelay(self fleet.ID, id flow.TargetID, round uint64, span clock.Millis) clock.Millis {
	return clock.Millis(fleet.RendezvousScore(fleet.RendezvousScore(uint64(id), self), fleet.ID(round)) % uint64(span))
}

// start schedules the first probe within one interval of now.
func (t *probeTask) start(now clock.Millis, self fleet.ID) {
	t.next = now + hashedDelay(self, t.probe.id, 0, probeInterval)
}

// advance schedules the next probe.
func (t *probeTask) advance(now clock.Millis, self fleet.ID) {
	t.round++
	half := probeJitter / 2
	t.next = now + probeInterval - half + hashedDelay(self, t.probe.id, t.round, probeJitter)
}
