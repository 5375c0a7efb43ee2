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
	controlRate = 4000 // bytes a second
	// datagramOverhead is the size of the headers around a message without a packet.
	datagramOverhead = 60
	vmLatency        = 0 * clock.Millisecond
	clientLatency    = 3 * clock.Millisecond
	readLatency      = 100 * clock.Millisecond
)

// balancer is what differs between almondflow and the naive version.
type balancer interface {
	FromFabric(now clock.Millis, inner []byte, sink core.Sink) result.Code
	FromPeer(now clock.Millis, m *steer.Message, inner []byte, sink core.Sink) result.Code
}

// vm is one entry VM: the code of the daemon on a network and a clock that are fakes.
type vm struct {
	world       *world
	name        string
	domain      string
	id          fleet.ID
	up          bool
	downSince   clock.Millis
	booted      clock.Millis
	drift       int // thousandths
	pausedUntil clock.Millis
	waiting     []func()
	node        *core.Node
	packets     balancer
	control     *control.Controller
	machine     *member.Machine
	placer      *placement.Placer
	health      *health
	unread      bool // the platform does not answer this VM
	budget      *member.Budget
	tables      *table.Snapshot
	list        *fleet.List
	bytes       uint64       // of control sent
	blind       clock.Millis // when it last could not see what is published
}

// boot starts a process on a VM, without memory of an earlier one.
func (w *world) boot(name, domain string) {
	v := &vm{world: w, name: name, domain: domain, id: fleet.NewID(name), up: true, booted: w.now, blind: w.now}
	if w.config.skew > 0 {
		v.drift = w.random.IntN(2*w.config.skew+1) - w.config.skew
	}
	v.budget = member.NewBudget(0, controlRate)
	placer := &placer{Placer: placement.New(), vm: v}
	v.placer = placer.Placer
	v.health = newHealth(v)
	v.node = core.New(core.Options{
		Self: v.id, Incarnation: uint64(w.now) + 1, Seed: flowHashSeed, Shards: 4, Flows: 400_000,
		OpeningLifetime: w.config.spans.opening, Placer: placer, Breakage: w.config.breakage,
		Copies: w.config.copies, NoCopies: w.config.noCopies,
		Budget: control.BudgetOf(v.budget),
	})
	v.packets = v.node
	if w.config.naive {
		v.packets = &naive{vm: v}
	}
	v.control = control.New(v.id, v.node, placer, control.WithRanking(w.ranking))
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	v.machine = member.New(v.id, uint64(w.now)+1, 0, random, v,
		member.WithBudget(v.budget), member.WithQuarantine(w.quarantine()),
		member.WithLease(w.config.spans.lease), member.WithProbePeriod(w.config.spans.probe))
	w.vms = append(w.vms, v)
	w.byID[v.id] = v
	w.after(clock.Millis(w.random.Int64N(int64(tickPeriod))), v.tick)
	w.after(v.readDelay(), v.readPlatform)
	w.tracef("%s booted", name)
}

// quarantine is the age below which a process takes part in no vote. A fleet that was
// broken on purpose to do without it has none in its membership either.
func (w *world) quarantine() clock.Millis {
	if w.config.breakage == core.BreakQuarantine {
		return 0
	}
	return w.config.spans.opening
}

// placer shows the oracle every target that a VM chooses.
type placer struct {
	*placement.Placer
	vm *vm
}

func (p *placer) Place(now clock.Millis, route *table.Route, hash uint64, excluded flow.TargetID) (flow.Target, result.Code) {
	target, code := p.Placer.Place(now, route, hash, excluded)
	if code == result.Placed {
		p.vm.world.oracle.placed(p.vm, target)
	}
	return target, code
}

// local is the VM's own clock.
func (v *vm) local() clock.Millis {
	return (v.world.now - v.booted) * clock.Millis(1000+v.drift) / 1000
}

// do runs something in the VM's process, after its pause where it is paused.
func (v *vm) do(run func()) {
	if !v.up {
		return
	}
	if v.world.now < v.pausedUntil {
		v.waiting = append(v.waiting, run)
		return
	}
	run()
}

func (v *vm) pause(span clock.Millis) {
	v.pausedUntil = v.world.now + span
	v.blind = v.pausedUntil
	v.world.tracef("%s pauses for %d ms", v.name, span)
	v.world.after(span, func() {
		waiting := v.waiting
		v.waiting = nil
		for _, run := range waiting {
			v.do(run)
		}
	})
}

func (v *vm) crash() {
	v.up = false
	v.downSince = v.world.now
	v.waiting = nil
	v.world.tracef("%s crashed", v.name)
}

func (v *vm) tick() {
	if !v.up {
		return
	}
	v.do(func() {
		v.machine.Tick(v.local())
		if v.world.config.health {
			v.health.tick(v.local())
		}
		v.control.Tick(v.local(), v.machine, v)
	})
	v.world.after(tickPeriod, v.tick)
}

// isReader says which VMs read the platform: the first two of each failure domain.
func (v *vm) isReader() bool {
	place := 0
	for _, other := range v.world.vms {
		if other == v {
			return place < 2
		}
		if other.up && other.domain == v.domain && v.relies(other) {
			place++
		}
	}
	return false
}

// relies reports whether this VM leaves the reading of the platform to another one, which
// the list names and which it takes to be alive.
func (v *vm) relies(other *vm) bool {
	if v.list == nil {
		return true
	}
	_, listed := v.list.Find(other.id)
	return listed && v.machine.View().Alive(other.id)
}

func (v *vm) readDelay() clock.Millis {
	return readLatency/2 + clock.Millis(v.world.random.Int64N(int64(readLatency)))
}

// readPlatform takes what the platform publishes, as a reader or at the start.
func (v *vm) readPlatform() {
	if !v.up {
		return
	}
	p := &v.world.platform
	if !p.down && !v.unread && !v.world.cut[v.domain] && (v.isReader() || v.tables == nil) {
		v.do(func() {
			if p.stale && len(p.older) > 0 {
				v.take(p.older[0], p.list)
				return
			}
			v.take(p.tables, p.list)
			if p.reorder && len(p.older) > 0 {
				v.take(p.older[v.world.random.IntN(len(p.older))], nil)
			}
		})
	}
	v.world.after(v.readDelay(), v.readPlatform)
}

// take offers documents to the process, whoever they come from.
func (v *vm) take(tables *table.Snapshot, list *fleet.List) {
	if list != nil && (v.list == nil || list.Version() > v.list.Version()) {
		v.machine.SetList(v.local(), list)
		v.health.monitor.SetList(v.local(), list)
		v.control.SetList(v.local(), v.machine, list)
		v.list = list
	}
	if tables != nil && v.control.SetTables(v.local(), tables) {
		v.health.monitor.SetTables(v.local(), tables)
		v.machine.SetVersions(v.local(), []member.Version{{Name: tablesName, Number: tables.Version()}})
		v.world.oracle.inForce(v, tables)
		v.tables = tables
	}
}

// Send implements member.Sink.
func (v *vm) Send(to fleet.ID, m *member.Message) {
	v.bytes += uint64(m.Size())
	v.to(to, func(other *vm) {
		other.health.receive(other.local(), m)
		other.machine.Receive(other.local(), v.id, m)
	})
}

// Event implements member.Sink. A pull copies what the peer has in force.
func (v *vm) Event(e member.Event) {
	v.control.Event(e)
	v.world.tracef("%s %s member=%x %s>%s %s %d", v.name, e.Kind, uint64(e.Member), e.Before, e.After, e.Name, e.Version)
	if e.Kind != member.PullWanted {
		return
	}
	v.to(e.Member, func(other *vm) {
		tables, list := other.tables, other.list
		other.to(v.id, func(*vm) {
			if e.Name == member.ListName {
				v.take(nil, list)
			} else {
				v.take(tables, nil)
			}
		})
	})
}

// to runs something in another VM's process when a message has reached it.
func (v *vm) to(id fleet.ID, run func(other *vm)) {
	w := v.world
	w.transmit(vmLatency, func() {
		// A restarted process gets what was sent to its predecessor.
		other := w.byID[id]
		if other != nil && w.reaches(v.domain, other.domain) {
			other.do(func() { run(other) })
		}
	})
}

// Peer implements core.Sink.
func (v *vm) Peer(to fleet.ID, m *steer.Message, inner []byte) {
	message := *m
	inner = append([]byte(nil), inner...)
	v.world.traceMessage(v, to, m, inner)
	if len(inner) == 0 {
		v.bytes += uint64(len(m.Append(nil)) + datagramOverhead)
	}
	if m.Kind == steer.Copy {
		v.world.copied += uint64(len(inner) + len(m.Append(nil)) + datagramOverhead)
	}
	v.to(to, func(other *vm) { other.packets.FromPeer(other.local(), &message, inner, other) })
}

// Fabric implements core.Sink.
func (v *vm) Fabric(inner []byte) {
	w := v.world
	var p packet.Packet
	if err := p.Parse(append([]byte(nil), inner...)); err != nil {
		panic(err)
	}
	key := p.Key()
	if t := w.byTarget[key.Destination()]; t != nil {
		w.transmit(vmLatency, func() {
			if w.reaches(v.domain, t.domain) {
				t.receive(v, &p)
			}
		})
		return
	}
	w.transmit(clientLatency, func() { w.toClient(&p) })
}

// fromFabric hands a packet to some entry VM.
func (w *world) fromFabric(domain string, base clock.Millis, inner []byte) {
	v := w.spray(domain)
	if v == nil {
		return
	}
	w.transmit(base, func() {
		v.do(func() { v.packets.FromFabric(v.local(), append([]byte(nil), inner...), v) })
	})
}
