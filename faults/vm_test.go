package faults

import (
	"math/rand/v2"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/control"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
	"github.com/almondflow/almondflow/table"
)

const (
	tablesName  = "tables"
	controlRate = 4000 // bytes per second
	// datagramOverhead is the number of bytes that the headers add to a message without
	// an inner packet.
	datagramOverhead    = 60
	vmLatency           = 0 * clock.Millisecond
	clientLatency       = 3 * clock.Millisecond
	platformReadLatency = 100 * clock.Millisecond
)

// packetBalancer handles packets. Node implements it for almondflow, naiveBalancer for the
// baseline that it is compared with.
type packetBalancer interface {
	ReceiveFromFabric(now clock.Millis, inner []byte, sink core.Sink) result.Code
	ReceiveFromPeer(now clock.Millis, m *steer.Message, inner []byte, sink core.Sink) result.Code
}

// vm is an entry VM that runs the code of the daemon on the simulated network and clock.
type vm struct {
	simulation      *simulation
	name            string
	domain          string
	id              fleet.ID
	up              bool
	downSince       clock.Millis
	bootedAt        clock.Millis
	driftPerMille   int // of its clock
	pausedUntil     clock.Millis
	deferred        []func() // what arrived during the pause
	node            *core.Node
	balancer        packetBalancer
	controller      *control.Controller
	membership      *member.Machine
	placer          *placement.Placer
	health          *healthMonitor
	platformBlocked bool // the platform does not answer this VM
	rateLimiter     *member.RateLimiter
	tables          *table.Snapshot
	list            *fleet.List
	controlBytes    uint64       // bytes of control messages sent
	noUpdatesUntil  clock.Millis // end of the last period without updates from the platform or peers
}

// boot starts a process on a VM without the state of an earlier process.
func (s *simulation) boot(name, domain string) {
	v := &vm{simulation: s, name: name, domain: domain, id: fleet.NewID(name), up: true, bootedAt: s.now, noUpdatesUntil: s.now}
	if s.config.maxDrift > 0 {
		v.driftPerMille = s.random.IntN(2*s.config.maxDrift+1) - s.config.maxDrift
	}
	v.rateLimiter = member.NewRateLimiter(0, controlRate)
	placer := &observedPlacer{Placer: placement.New(), vm: v}
	v.placer = placer.Placer
	v.health = newHealthMonitor(v)
	v.node = core.New(core.Options{
		Self: v.id, Incarnation: uint64(s.now) + 1, Seed: flowHashSeed, Shards: 4, MaxFlows: 400_000,
		OpeningLifetime: s.config.timing.opening, Placer: placer, Defect: s.config.defect,
		Copies: s.config.copies, NoCopies: s.config.noCopies,
		RateLimiter: control.NewCoreRateLimiter(v.rateLimiter),
	})
	v.balancer = v.node
	if s.config.naive {
		v.balancer = &naiveBalancer{vm: v}
	}
	v.controller = control.New(v.id, v.node, placer, control.WithRanking(s.ranking))
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	v.membership = member.New(v.id, uint64(s.now)+1, 0, random, v,
		member.WithRateLimiter(v.rateLimiter), member.WithQuarantine(s.quarantineAge()),
		member.WithLease(s.config.timing.lease), member.WithProbePeriod(s.config.timing.probe))
	s.vms = append(s.vms, v)
	s.vmByID[v.id] = v
	s.schedule(clock.Millis(s.random.Int64N(int64(tickPeriod))), v.tick)
	s.schedule(v.platformReadDelay(), v.readPlatform)
	s.tracef("%s booted", name)
}

// quarantineAge returns the age that a process must reach before it votes. The defect that
// disables the quarantine of the Node disables that of the membership too.
func (s *simulation) quarantineAge() clock.Millis {
	if s.config.defect == core.DefectNoQuarantine {
		return 0
	}
	return s.config.timing.opening
}

// observedPlacer reports every target that a VM chooses to the oracle.
type observedPlacer struct {
	*placement.Placer
	vm *vm
}

// Place implements core.Placer.
func (p *observedPlacer) Place(now clock.Millis, route *table.Route, hash uint64, excluded flow.TargetID) (flow.Target, result.Code) {
	target, code := p.Placer.Place(now, route, hash, excluded)
	if code == result.Placed {
		p.vm.simulation.oracle.targetChosen(p.vm, target)
	}
	return target, code
}

// localTime returns the time on the VM's own, drifting clock.
func (v *vm) localTime() clock.Millis {
	return (v.simulation.now - v.bootedAt) * clock.Millis(1000+v.driftPerMille) / 1000
}

// execute runs a function in the VM's process. While the process is paused, the function is
// deferred until it resumes. A VM that is down ignores it.
func (v *vm) execute(run func()) {
	if !v.up {
		return
	}
	if v.simulation.now < v.pausedUntil {
		v.deferred = append(v.deferred, run)
		return
	}
	run()
}

// pause suspends the VM's process for a duration.
func (v *vm) pause(duration clock.Millis) {
	v.pausedUntil = v.simulation.now + duration
	v.noUpdatesUntil = v.pausedUntil
	v.simulation.tracef("%s pauses for %d ms", v.name, duration)
	v.simulation.schedule(duration, func() {
		deferred := v.deferred
		v.deferred = nil
		for _, run := range deferred {
			v.execute(run)
		}
	})
}

// crash stops the VM's process without a shutdown.
func (v *vm) crash() {
	v.up = false
	v.downSince = v.simulation.now
	v.deferred = nil
	v.simulation.tracef("%s crashed", v.name)
}

// tick runs the periodic work of the process and schedules the next tick.
func (v *vm) tick() {
	if !v.up {
		return
	}
	v.execute(func() {
		v.membership.Tick(v.localTime())
		if v.simulation.config.probeTargets {
			v.health.tick(v.localTime())
		}
		v.controller.Tick(v.localTime(), v.membership, v)
	})
	v.simulation.schedule(tickPeriod, v.tick)
}

// isReader reports whether this VM reads the platform, as the first two live VMs of each
// failure domain do.
func (v *vm) isReader() bool {
	rank := 0
	for _, other := range v.simulation.vms {
		if other == v {
			return rank < 2
		}
		if other.up && other.domain == v.domain && v.reliesOn(other) {
			rank++
		}
	}
	return false
}

// reliesOn reports whether this VM expects another VM to read the platform: its list
// contains the other VM and its membership considers that VM alive.
func (v *vm) reliesOn(other *vm) bool {
	if v.list == nil {
		return true
	}
	_, listed := v.list.Find(other.id)
	return listed && v.membership.View().Alive(other.id)
}

func (v *vm) platformReadDelay() clock.Millis {
	return platformReadLatency/2 + clock.Millis(v.simulation.random.Int64N(int64(platformReadLatency)))
}

// readPlatform reads the published documents if this VM is a reader or has no tables yet,
// and schedules the next read.
func (v *vm) readPlatform() {
	if !v.up {
		return
	}
	p := &v.simulation.platform
	if !p.down && !v.platformBlocked && !v.simulation.partitioned[v.domain] && (v.isReader() || v.tables == nil) {
		v.execute(func() {
			if p.stale && len(p.previousTables) > 0 {
				v.apply(p.previousTables[0], p.list)
				return
			}
			v.apply(p.tables, p.list)
			if p.reorder && len(p.previousTables) > 0 {
				v.apply(p.previousTables[v.simulation.random.IntN(len(p.previousTables))], nil)
			}
		})
	}
	v.simulation.schedule(v.platformReadDelay(), v.readPlatform)
}

// apply passes documents from the platform or a peer to the process, which ignores those
// that are not newer than its own. A document may be nil.
func (v *vm) apply(tables *table.Snapshot, list *fleet.List) {
	if list != nil && (v.list == nil || list.Version() > v.list.Version()) {
		v.membership.SetList(v.localTime(), list)
		v.health.monitor.SetList(v.localTime(), list)
		v.controller.SetList(v.localTime(), v.membership, list)
		v.list = list
	}
	if tables != nil && v.controller.SetTables(v.localTime(), tables) {
		v.health.monitor.SetTables(v.localTime(), tables)
		v.membership.SetVersions(v.localTime(), []member.Version{{Name: tablesName, Number: tables.Version()}})
		v.simulation.oracle.tablesApplied(v, tables)
		v.tables = tables
	}
}

// Send implements member.Sink.
func (v *vm) Send(to fleet.ID, m *member.Message) {
	v.controlBytes += uint64(m.Size())
	v.sendTo(to, func(other *vm) {
		other.health.receive(other.localTime(), m)
		other.membership.Receive(other.localTime(), v.id, m)
	})
}

// Event implements member.Sink. On PullRequested, the VM fetches the current document of the
// peer.
func (v *vm) Event(e member.Event) {
	v.controller.HandleEvent(e)
	v.simulation.tracef("%s %s member=%x %s>%s %s %d", v.name, e.Kind, uint64(e.Member), e.Before, e.After, e.Name, e.Version)
	if e.Kind != member.PullRequested {
		return
	}
	v.sendTo(e.Member, func(other *vm) {
		tables, list := other.tables, other.list
		other.sendTo(v.id, func(*vm) {
			if e.Name == member.ListName {
				v.apply(nil, list)
			} else {
				v.apply(tables, nil)
			}
		})
	})
}

// sendTo runs a function in another VM's process when a message from this VM arrives there.
func (v *vm) sendTo(id fleet.ID, run func(other *vm)) {
	s := v.simulation
	s.transmit(vmLatency, func() {
		// A restarted process receives messages that were sent to its predecessor.
		other := s.vmByID[id]
		if other != nil && s.connected(v.domain, other.domain) {
			other.execute(func() { run(other) })
		}
	})
}

// SendToPeer implements core.Sink.
func (v *vm) SendToPeer(to fleet.ID, m *steer.Message, inner []byte) {
	message := *m
	inner = append([]byte(nil), inner...)
	v.simulation.traceMessage(v, to, m, inner)
	if len(inner) == 0 {
		v.controlBytes += uint64(len(m.Append(nil)) + datagramOverhead)
	}
	if m.Kind == steer.Copy {
		v.simulation.copyBytes += uint64(len(inner) + len(m.Append(nil)) + datagramOverhead)
	}
	v.sendTo(to, func(other *vm) { other.balancer.ReceiveFromPeer(other.localTime(), &message, inner, other) })
}

// SendToFabric implements core.Sink.
func (v *vm) SendToFabric(inner []byte) {
	s := v.simulation
	var p packet.Packet
	if err := p.Parse(append([]byte(nil), inner...)); err != nil {
		panic(err)
	}
	key := p.Key()
	if t := s.targetByEndpoint[key.Destination()]; t != nil {
		s.transmit(vmLatency, func() {
			if s.connected(v.domain, t.domain) {
				t.receive(v, &p)
			}
		})
		return
	}
	s.transmit(clientLatency, func() { s.deliverToClient(&p) })
}

// sendThroughFabric sends a packet to an entry VM that the fabric picks. domain is the failure
// domain of the sender, or "" for clients, and base is the delay without jitter.
func (s *simulation) sendThroughFabric(domain string, base clock.Millis, inner []byte) {
	v := s.pickVM(domain)
	if v == nil {
		return
	}
	s.transmit(base, func() {
		v.execute(func() { v.balancer.ReceiveFromFabric(v.localTime(), append([]byte(nil), inner...), v) })
	})
}
