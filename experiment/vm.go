package experiment

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

const (
	// defaultRotationLag is how long the router keeps sending packets to a VM that stopped.
	defaultRotationLag = clock.Second
	// minReportInterval is the least time between two reports of unresponsive targets, as in
	// the daemon.
	minReportInterval = 50 * clock.Millisecond
	tickInterval      = 250 * clock.Millisecond
)

var routeAddresses = []netip.AddrPort{
	netip.MustParseAddrPort("198.18.0.1:8443"), // feeds
	netip.MustParseAddrPort("198.18.0.1:8080"), // holds
}

// vm is a simulated entry VM that runs a real engine.
type vm struct {
	sim         *simulation
	domain      int
	number      int
	engine      *inband.Engine
	isUp        bool
	inRotation  bool
	paused      bool
	isCut       bool // it does not reach the targets of its own domain
	wasCut      bool // it did not at some time
	seen        seenPackets
	deferred    []func() // calls that arrived while it was paused
	reportedAt  clock.Millis
	startedAt   clock.Millis
	stoppedAt   clock.Millis
	ticks       int
	incarnation int // counts starts, so that timers of an earlier one end
}

// start gives the VM a new engine with the current view.
func (v *vm) start() {
	s := v.sim
	v.incarnation++
	v.engine = inband.New(inband.Options{
		Domain: domainName(v.domain), Policy: s.policy, MaxFlows: 100000,
		FlowLifetime: clock.Minute, Seed: s.random.Uint64(),
		SharesLoad: s.size.SharesLoad, RefusesByUrgency: s.size.RefusesByUrgency,
	})
	v.engine.SetLocalVMs(s.size.VMs)
	v.seen = newSeenPackets()
	v.isUp, v.inRotation = true, true
	v.updateView()
	v.startedAt = s.now
	v.tick(v.incarnation)
}

// leave takes the VM out of rotation. It stops once no packet is on its way to it.
func (v *vm) leave() {
	v.inRotation = false
	v.sim.schedule(clientLatency, func() { v.isUp, v.stoppedAt = false, v.sim.now-expiryTimeout }) // it says goodbye
}

// stop ends the VM. The router notices after a lag.
func (v *vm) stop() {
	v.isUp, v.stoppedAt = false, v.sim.now
	incarnation := v.incarnation
	v.sim.schedule(v.sim.size.RotationLag, func() {
		if !v.isUp && v.incarnation == incarnation {
			v.inRotation = false
		}
	})
}

// tick runs the periodic work of the VM until it stops or starts again.
func (v *vm) tick(incarnation int) {
	v.sim.schedule(tickInterval, func() {
		if !v.isUp || v.incarnation != incarnation {
			return
		}
		v.do(func() {
			v.engine.Sweep(v.sim.now)
			v.reportAndProbe()
			v.reportOutcomes()
			v.reportLoad()
			v.startFirstContact()
		})
		v.tick(incarnation)
	})
}

// do runs a function now, or on resume if the VM is paused. A stopped VM ignores it.
func (v *vm) do(run func()) {
	switch {
	case !v.isUp:
	case v.paused:
		v.deferred = append(v.deferred, run)
	default:
		run()
	}
}

// pause suspends the VM. The router notices after a lag.
func (v *vm) pause() {
	v.paused = true
	v.sim.schedule(v.sim.size.RotationLag, func() { v.inRotation = !v.paused })
}

// resume runs the calls that arrived during the pause.
func (v *vm) resume() {
	v.paused, v.inRotation = false, true
	deferred := v.deferred
	v.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// updateView gives the engine the routes, and the targets and drained domains as listed. These come from the
// simulation: how marks of drains reach a VM late or twice is tested in catalog and front.
func (v *vm) updateView() {
	route := inband.Route{Shares: []inband.Share{{Service: service, Weight: 1}}, TargetLatencyMS: v.sim.size.TargetLatency, TimeoutMS: v.sim.size.Deadline}
	feed, hold := route, route
	feed.Name, feed.Address, feed.Repeatable, feed.Priority = "feed", routeAddresses[0], true, 2
	hold.Name, hold.Address, hold.Priority = "hold", routeAddresses[1], 1
	tables := &inband.Tables{Version: 1, IdleMS: 15000, Routes: []inband.Route{feed, hold}}
	var published []inband.Published
	for _, t := range v.sim.targets {
		listed := t.listed
		published = append(published, inband.Published{Target: &listed})
	}
	v.engine.ReplaceView(tables, published)
	v.engine.SetDrainedDomains(v.sim.drainedDomains())
}

// handle processes a client's packet and carries out the engine's verdict.
func (v *vm) handle(c *client, p inband.Packet) {
	s := v.sim
	if !p.IsOpening() {
		v.seen.observe(s.now, &p, s.byTag[p.Tag])
	}
	verdict := v.engine.Handle(s.now, &p)
	if verdict.Backend != nil && s.size.Trace != nil {
		s.trace("vm%d %v seq=%d ack=%d len=%d -> %s %v", v.number, p.Key.Client, p.Seq, p.Ack, p.DataLength, verdict.Backend.Target().ID, verdict.Reason)
	}
	switch verdict.Action {
	case inband.Forward:
		t := s.byID[verdict.Backend.Target().ID]
		p.Tag = verdict.Tag()
		if p.IsOpening() {
			v.seen.observeOpening(s.now, &p, t)
			if v.domain != t.domain && !v.wasCut {
				s.report.RemoteOpenings++
				s.trace("vm%d opens elsewhere: %s", v.number, t.spec.ID)
			}
		}
		if v.reaches(t) {
			s.schedule(latencyBetween(v.domain, t.domain), func() { t.receive(c, p) })
		}
	case inband.Reset:
		s.countReset(v, p.Key, verdict.Backend)
		s.schedule(clientLatency, func() { c.handleReset(p.Key) })
	case inband.Drop:
		s.report.Dropped++
	}
	if v.engine.HasNewSuspicions() {
		v.reportAndProbe()
	}
}

// reaches reports whether a packet of the VM reaches a target.
func (v *vm) reaches(t *target) bool {
	isCutOff := v.isCut && v.domain == t.domain || v.sim.now < v.sim.cutUntil[vmLink{v.number, t}]
	return !isCutOff && !v.sim.isLost(v.domain, t.domain)
}

// reportAndProbe reports unresponsive targets to the siblings, probes the VMs of unreachable
// domains and resets flows whose target is lost.
func (v *vm) reportAndProbe() {
	s := v.sim
	if s.now-v.reportedAt < minReportInterval {
		return
	}
	v.reportedAt = s.now
	suspicions := v.engine.TakeSuspicions(s.now)
	for _, sibling := range s.vms {
		if sibling != v && len(suspicions) > 0 && !s.isLost(v.domain, sibling.domain) {
			s.schedule(latencyBetween(v.domain, sibling.domain), func() {
				sibling.do(func() { sibling.receiveSuspicions(v, suspicions) })
			})
		}
	}
	for _, domain := range v.engine.DomainsToProbe(s.now) {
		v.probe(domain)
	}
	v.startProbes()
	v.resetFlowsOfLostTargets()
}

// resetFlowsOfLostTargets resets the clients of the flows that the engine ends.
func (v *vm) resetFlowsOfLostTargets() {
	s := v.sim
	v.traceCuts()
	for _, f := range v.engine.EndFlowsOfLostTargets(s.now) {
		s.countReset(v, f.Key, f.Backend)
		s.schedule(clientLatency, func() { s.clientOf[f.Key].handleReset(f.Key) })
	}
}

// traceCuts traces which domains the VM takes for cut off.
func (v *vm) traceCuts() {
	s := v.sim
	for domain := range s.size.Domains {
		if s.size.Trace != nil && v.engine.IsPartitioned(s.now, domainName(domain)) {
			s.trace("vm%d takes %s for cut off", v.number, domainName(domain))
		}
	}
}

// reportOutcomes reports failing targets to the other VMs of the domain.
func (v *vm) reportOutcomes() {
	reports := v.engine.TakeOutcomes(v.sim.now)
	if len(reports) == 0 {
		return
	}
	for _, sibling := range v.sim.vms {
		if sibling != v && sibling.domain == v.domain {
			sibling.do(func() { sibling.engine.ReceiveOutcomes(v.sim.now, domainName(v.domain), reports) })
		}
	}
}

// probe sends a probe to every VM of a domain. Each answer marks the domain as reachable.
func (v *vm) probe(domain string) {
	s := v.sim
	s.trace("vm%d asks the VMs of %s", v.number, domain)
	v.engine.MarkProbed(s.now, domain, s.size.VMs)
	for _, sibling := range s.vms {
		if domainName(sibling.domain) != domain || s.isLost(v.domain, sibling.domain) {
			continue
		}
		s.schedule(remoteLatency, func() {
			sibling.do(func() {
				if !s.isLost(sibling.domain, v.domain) {
					s.schedule(remoteLatency, func() { v.do(func() { v.engine.MarkReachable(domain) }) })
				}
			})
		})
	}
}

// peerAddress returns the address that identifies the VM to its siblings.
func (v *vm) peerAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(v.domain), 255, byte(v.number)}), 7720)
}
