package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// One-way latencies and lags of the simulated network.
const (
	clientLatency = 3 * clock.Millisecond
	localLatency  = 0 * clock.Millisecond
	remoteLatency = 1 * clock.Millisecond
	// maxViewLag is the longest time until a VM learns of a changed target.
	maxViewLag = 900 * clock.Millisecond
	// resetGracePeriod is how long after a fault a reset of an open flow counts as explained.
	resetGracePeriod = 4 * clock.Second
	service          = "core"
)

// event is a function to run at a point in virtual time. The sequence number orders events
// of the same time.
type event struct {
	at  clock.Millis
	seq int
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	size              Size
	policy            inband.Policy
	random            *rand.Rand
	now               clock.Millis
	events            eventQueue
	lastSeq           int
	vms               []*vm
	targets           []*target
	byID              map[string]*target
	byTag             map[inband.Tag]*target
	clientOf          map[inband.Key]*client
	deaf              map[netip.Addr]bool // clients that receive nothing from targets
	mute              map[netip.Addr]bool // clients whose packets are lost
	partitioned       int                 // domain that others cannot reach in either direction, or none
	oneWayPartitioned int                 // domain that packets from other domains do not reach, or none
	lossRate          float64
	loadFactor        float64
	drainedUntil      map[int]clock.Millis // domains that the operator drains
	drainedSince      map[int]clock.Millis
	queryFactor       float64         // on the rate of queries, besides loadFactor
	domainFactors     map[int]float64 // on the rate of requests of a domain, besides loadFactor
	messageLossRate   float64
	repeatsMessages   bool                    // reports of probes arrive twice
	cutUntil          map[vmLink]clock.Millis // links of one VM to one target that are cut, or were
	isStoreDown       bool
	shiftedDomain     int          // domain whose clients enter through the next domain, or none
	partitionedAt     clock.Millis // when the domain was partitioned
	healedAt          clock.Millis // when the last network fault ended
	lossEndedAt       clock.Millis // when the last loss of packets ended
	report            Report
	targetsStarted    int // for ids and addresses of targets
}

// vmLink is the way from a VM to a target.
type vmLink struct {
	vm     int
	target *target
}

// none stands for no domain.
const none = -1

func newSimulation(size Size, policy inband.Policy, seed uint64) *simulation {
	s := &simulation{
		size: size, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*target{}, byTag: map[inband.Tag]*target{},
		drainedUntil: map[int]clock.Millis{}, drainedSince: map[int]clock.Millis{},
		cutUntil: map[vmLink]clock.Millis{}, clientOf: map[inband.Key]*client{}, deaf: map[netip.Addr]bool{}, mute: map[netip.Addr]bool{},
		partitioned: none, oneWayPartitioned: none, shiftedDomain: none, loadFactor: 1, queryFactor: 1,
		domainFactors: map[int]float64{}, healedAt: -resetGracePeriod, lossEndedAt: -resetGracePeriod,
	}
	s.size.RotationLag = cmp.Or(size.RotationLag, defaultRotationLag)
	s.size.Deadline = cmp.Or(size.Deadline, defaultDeadline)
	s.size.LeaveTime = cmp.Or(size.LeaveTime, defaultLeaveTime)
	s.size.TargetLatency = cmp.Or(size.TargetLatency, defaultTargetLatency)
	for domain := range size.Domains {
		for range size.Targets {
			s.addTarget(domain)
		}
	}
	for domain := range size.Domains {
		for range size.VMs {
			v := &vm{sim: s, domain: domain, number: len(s.vms)}
			s.vms = append(s.vms, v)
			v.start()
		}
	}
	return s
}

// schedule runs a function after a delay.
func (s *simulation) schedule(delay clock.Millis, run func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at: s.now + delay, seq: s.lastSeq, run: run})
}

// runUntil runs all events before a point in time.
func (s *simulation) runUntil(end clock.Millis) {
	for len(s.events) > 0 && s.events[0].at < end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func domainName(domain int) string { return fmt.Sprintf("d%d", domain) }

// addTarget adds a target that does not answer yet.
func (s *simulation) addTarget(domain int) *target {
	s.targetsStarted++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), byte(s.targetsStarted >> 8), byte(s.targetsStarted)}), 80)
	t := &target{
		sim: s, domain: domain, cutVM: none, slowdown: 1, disturbedAt: -resetGracePeriod, flows: map[inband.Key]*targetFlow{},
		spec: inband.Target{
			ID: fmt.Sprintf("i-%04x", s.targetsStarted), Identity: uint64(s.targetsStarted), Service: service,
			Address: address, Domain: domainName(domain), Slots: 2,
		},
	}
	t.listed = t.spec
	s.targets = append(s.targets, t)
	s.byID[t.spec.ID], s.byTag[inband.TagOf(t.spec.ID)] = t, t
	return t
}

// publish updates the view of every VM, each after its own random lag.
func (s *simulation) publish() {
	for _, v := range s.vms {
		lag := clock.Millis(s.random.Int64N(int64(maxViewLag)))
		s.schedule(lag, func() {
			if v.isUp && v.domain != s.partitioned && !s.isStoreDown {
				v.updateView()
			}
		})
	}
}

// isLost reports whether a packet from one domain to another is lost.
func (s *simulation) isLost(from, to int) bool {
	if from != to && (from == s.partitioned || to == s.partitioned || to == s.oneWayPartitioned) {
		return true
	}
	return s.lossRate > 0 && s.random.Float64() < s.lossRate
}

func latencyBetween(from, to int) clock.Millis {
	if from == to {
		return localLatency
	}
	return remoteLatency
}

// selectVM returns the VM that the router sends the packets of a flow to. Rendezvous hashing
// over the VMs of the domain moves only flows of a VM that joins or leaves the rotation. If
// the domain has no VM in rotation, the next domains are tried. If no VM is in rotation, it
// returns the first VM of the domain.
func (s *simulation) selectVM(domain int, key inband.Key) *vm {
	for shift := range s.size.Domains {
		if v := s.highestWeightVM((domain+shift)%s.size.Domains, key); v != nil {
			return v
		}
	}
	return s.vms[domain*s.size.VMs]
}

// highestWeightVM returns the VM in rotation with the highest hash weight for a flow, or nil
// if the domain has none.
func (s *simulation) highestWeightVM(domain int, key inband.Key) *vm {
	var selected *vm
	var highestWeight uint64
	for _, v := range s.vms[domain*s.size.VMs : (domain+1)*s.size.VMs] {
		weight := (uint64(key.Client.Port())<<20 + uint64(key.Client.Addr().As4()[3])<<8 + uint64(v.number) + 1) * 0x9e3779b97f4a7c15
		weight ^= weight >> 29
		weight *= 0xbf58476d1ce4e5b9
		if v.inRotation && (selected == nil || weight > highestWeight) {
			selected, highestWeight = v, weight
		}
	}
	return selected
}
