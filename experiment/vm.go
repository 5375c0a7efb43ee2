package experiment

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

const (
	// rotationDelay is how long the router needs to notice that a VM stopped.
	rotationDelay = clock.Second
	// lookGap is the least time between two looks at silent targets, as in the daemon.
	lookGap  = 50 * clock.Millisecond
	tickTime = 250 * clock.Millisecond
)

var routeAddresses = []netip.AddrPort{
	netip.MustParseAddrPort("198.18.0.1:8443"), // feeds
	netip.MustParseAddrPort("198.18.0.1:8080"), // holds
}

// vm is a modeled entry VM around a real engine.
type vm struct {
	world      *world
	domain     int
	number     int
	engine     *inband.Engine
	isUp       bool
	inRotation bool
	frozen     bool
	waiting    []func() // what came while it stood still
	lookedAt   clock.Millis
	life       int
}

// start gives the VM an empty engine that knows the view as it is.
func (v *vm) start() {
	w := v.world
	v.life++
	v.engine = inband.New(inband.Options{
		Domain: domainName(v.domain), Policy: w.policy, MaxFlows: 100000,
		FlowLifetime: clock.Minute, Seed: w.random.Uint64(),
	})
	v.engine.SetLocalVMs(w.size.VMs)
	v.isUp, v.inRotation = true, true
	v.learn()
	v.tick(v.life)
}

func (v *vm) stop() {
	v.isUp = false
	life := v.life
	v.world.after(rotationDelay, func() {
		if !v.isUp && v.life == life {
			v.inRotation = false
		}
	})
}

func (v *vm) tick(life int) {
	v.world.after(tickTime, func() {
		if !v.isUp || v.life != life {
			return
		}
		v.act(func() {
			v.engine.Sweep(v.world.now)
			v.look()
			v.sendOutcomes()
		})
		v.tick(life)
	})
}

// act does something now, or once the VM wakes.
func (v *vm) act(run func()) {
	switch {
	case !v.isUp:
	case v.frozen:
		v.waiting = append(v.waiting, run)
	default:
		run()
	}
}

// freeze makes the VM stand still. The router notices.
func (v *vm) freeze() {
	v.frozen = true
	v.world.after(rotationDelay, func() { v.inRotation = !v.frozen })
}

func (v *vm) wake() {
	v.frozen, v.inRotation = false, true
	waiting := v.waiting
	v.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// learn takes the listed targets into use.
func (v *vm) learn() {
	tables := &inband.Tables{Version: 1, IdleMS: 15000, Routes: []inband.Route{
		{Name: "feed", Address: routeAddresses[0], Repeatable: true, Priority: 2, Shares: []inband.Share{{Service: service, Weight: 1}}},
		{Name: "hold", Address: routeAddresses[1], Priority: 1, Shares: []inband.Share{{Service: service, Weight: 1}}},
	}}
	var all []inband.Published
	for _, t := range v.world.targets {
		listed := t.listed
		all = append(all, inband.Published{Target: &listed})
	}
	v.engine.Replace(tables, all)
}

// handle decides on a client's packet and sends what follows.
func (v *vm) handle(c *client, p inband.Packet) {
	w := v.world
	verdict := v.engine.Handle(w.now, &p)
	switch verdict.Action {
	case inband.Forward:
		t := w.byID[verdict.Backend.Target().ID]
		p.Tag = verdict.Tag()
		if !w.isLost(v.domain, t.domain) {
			w.after(delayBetween(v.domain, t.domain), func() { t.take(c, p) })
		}
	case inband.Reset:
		w.countReset(p.Key, verdict.Backend)
		w.after(clientDelay, func() { c.reset(p.Key) })
	case inband.Drop:
		w.report.Dropped++
	}
	if v.engine.HasNewSuspicions() {
		v.look()
	}
}

// look tells siblings of silent targets and asks VMs of silent domains for a sign of life.
func (v *vm) look() {
	w := v.world
	if w.now-v.lookedAt < lookGap {
		return
	}
	v.lookedAt = w.now
	suspicions := v.engine.TakeSuspicions(w.now)
	for _, other := range w.vms {
		if other != v && len(suspicions) > 0 && !w.isLost(v.domain, other.domain) {
			w.after(delayBetween(v.domain, other.domain), func() {
				other.act(func() { other.engine.ReceiveSuspicions(w.now, v.address(), domainName(v.domain), suspicions) })
			})
		}
	}
	for _, domain := range v.engine.DomainsToProbe(w.now) {
		v.probe(domain)
	}
	for _, f := range v.engine.EndWaitingFlows(w.now) {
		w.countReset(f.Key, f.Backend)
		w.after(clientDelay, func() { w.feedOf(f.Key).reset(f.Key) })
	}
}

// sendOutcomes reports targets with failed requests to the other VMs of the failure domain.
func (v *vm) sendOutcomes() {
	reports := v.engine.TakeOutcomes(v.world.now)
	if len(reports) == 0 {
		return
	}
	for _, other := range v.world.vms {
		if other != v && other.domain == v.domain {
			other.act(func() { other.engine.ReceiveOutcomes(v.world.now, domainName(v.domain), reports) })
		}
	}
}

func (v *vm) probe(domain string) {
	w := v.world
	v.engine.MarkProbed(w.now, domain, w.size.VMs)
	for _, other := range w.vms {
		if domainName(other.domain) != domain || w.isLost(v.domain, other.domain) {
			continue
		}
		w.after(acrossDelay, func() {
			other.act(func() {
				if !w.isLost(other.domain, v.domain) {
					w.after(acrossDelay, func() { v.act(func() { v.engine.MarkReachable(domain) }) })
				}
			})
		})
	}
}

func (v *vm) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(v.domain), 255, byte(v.number)}), 7720)
}

// countReset counts a reset. The reset of an open flow whose target is up and was not disturbed
// counts as a broken flow.
func (w *world) countReset(key inband.Key, backend *inband.Backend) {
	if backend == nil {
		w.report.Refused++
		return
	}
	w.report.Resets++
	t := w.byID[backend.Target().ID]
	isDisturbed := t.isTroubled() || w.now-w.healed < graceAfter || w.cutOff != none || w.oneWay != none || w.lossy > 0
	if t.isUp && t.flows[key] != nil && !isDisturbed && w.now-t.disturbedAt >= graceAfter {
		w.report.Broken++
	}
}
