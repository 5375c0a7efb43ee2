package experiment

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// synchronizedSpread is the time in milliseconds over which synchronized clients spread their requests.
const synchronizedSpread = 60

// firstHoldPort is above the ports that clients use for their other flows.
const firstHoldPort = 30000

// Run simulates a pattern of load and faults under a policy and returns the results. The
// policy name only labels the report.
func Run(size Size, pattern Pattern, policyName string, policy inband.Policy, seed uint64) Report {
	s := newSimulation(size, policy, seed)
	for _, t := range s.targets {
		t.isUp = true
	}
	s.addClients()
	for _, f := range pattern.Faults {
		s.schedule(f.At, func() { s.inject(f) })
	}
	s.runUntil(size.Duration)
	s.report.Pattern, s.report.Policy, s.report.Seed = pattern.Name, policyName, seed
	s.report.close(s.targets)
	return s.report
}

// addClients starts the feeds of every domain and its stream of holds.
func (s *simulation) addClients() {
	for domain := range s.size.Domains {
		for i := range s.size.Feeds {
			s.startFeed(&client{sim: s, domain: domain, number: i, isRepeatable: true, keepsFlow: true})
		}
		for i := range s.size.Bookings {
			s.startFeed(&client{sim: s, domain: domain, number: s.size.Feeds + i, keepsFlow: true})
		}
		if s.size.HoldsPerSecond > 0 {
			s.scheduleHold(domain, s.size.Feeds+s.size.Bookings)
		}
		if s.size.QueriesPerSecond > 0 {
			s.scheduleQuery(domain, firstQueryClient)
		}
	}
}

// startFeed starts a client that keeps its flow, at a random time or together with the others.
func (s *simulation) startFeed(c *client) {
	if s.size.Synchronized {
		s.schedule(0, c.runFeed)
		return
	}
	s.schedule(clock.Millis(s.random.Int64N(int64(s.size.FeedInterval))), c.runFeed)
}

// runFeed sends a request at random intervals, or at the times of synchronized clients, skipping one while the previous request is
// unfinished.
func (c *client) runFeed() {
	s := c.sim
	if c.request == nil || c.request.isDone {
		c.startRequest()
	}
	interval := float64(s.size.FeedInterval) * (0.5 + s.random.Float64()) / s.loadFactor
	if s.size.Synchronized {
		next := (s.now/s.size.FeedInterval + 1) * s.size.FeedInterval
		interval = float64(next - s.now + clock.Millis(s.random.Int64N(synchronizedSpread)))
	}
	s.schedule(clock.Millis(interval), c.runFeed)
}

// scheduleHold schedules the holds of a domain as a Poisson process. Each comes from a new client or,
// if clients are shared, from one that has a feed.
func (s *simulation) scheduleHold(domain, number int) {
	interval := clock.Millis(1000 * s.random.ExpFloat64() / (s.size.HoldsPerSecond * s.loadFactor * s.domainFactor(domain)))
	s.schedule(interval, func() {
		c := &client{sim: s, domain: domain, number: number}
		if s.size.SharedClients && s.size.Feeds > 0 {
			c.number, c.port = s.random.IntN(s.size.Feeds), uint16(firstHoldPort+number)
		}
		c.startRequest()
		s.scheduleHold(domain, number+1)
	})
}

// inject starts a fault and schedules its end.
func (s *simulation) inject(f Fault) {
	s.trace("inject %+v", f)
	if s.injectLoad(f) {
		return
	}
	switch f.Kind {
	case PartitionDomain:
		s.endPartitions()
		s.partitioned, s.partitionedAt = f.Domain, s.now
		s.schedule(f.For, func() { s.partitioned = none; s.healedAt = s.now; s.publish() })
	case PartitionOneWay:
		s.endPartitions()
		s.oneWayPartitioned = f.Domain
		s.schedule(f.For, func() { s.oneWayPartitioned = none; s.healedAt = s.now })
	case LosePackets:
		s.lossRate = f.Share
		s.schedule(f.For, func() { s.lossRate = 0; s.healedAt, s.lossEndedAt = s.now, s.now })
	case ShiftClients:
		s.shiftedDomain = f.Domain
		s.schedule(f.For, func() { s.shiftedDomain = none })
	case DrainDomain:
		s.drainDomain(f.Domain, f.For)
	case KillVMs, PauseVMs, RestartVMs, CutVMs:
		s.injectVMFault(f)
	case RepeatMessages:
		s.repeatsMessages = true
		s.schedule(f.For, func() { s.repeatsMessages = false })
	case DeafClients:
		s.injectClientFault(f, s.deaf)
	case MuteClients:
		s.injectClientFault(f, s.mute)
	default:
		s.injectTargetFault(f)
	}
}

// endPartitions ends a partition that another one replaces.
func (s *simulation) endPartitions() {
	if s.partitioned != none || s.oneWayPartitioned != none {
		s.partitioned, s.oneWayPartitioned, s.healedAt = none, none, s.now
	}
}

// injectVMFault pauses, restarts or cuts off randomly selected VMs.
func (s *simulation) injectVMFault(f Fault) {
	for _, i := range s.random.Perm(len(s.vms))[:shareOf(len(s.vms), f.Share)] {
		v := s.vms[i]
		switch {
		case f.Kind == CutVMs:
			v.isCut, v.wasCut = true, true
			s.schedule(f.For, func() { v.isCut = false })
		case !v.isUp || v.paused: // another fault ends later
		case f.Kind == PauseVMs:
			v.pause()
			s.schedule(f.For, v.resume)
		case f.Kind == RestartVMs:
			v.leave()
			s.schedule(f.For, v.start)
		default:
			v.stop()
			s.schedule(f.For, v.start)
		}
	}
}

// injectClientFault makes the links of some clients that keep their flow lose all packets in one
// direction. If the share is zero, it is the first client of the domain.
func (s *simulation) injectClientFault(f Fault, lossy map[netip.Addr]bool) {
	perDomain := s.size.Feeds + s.size.Bookings
	clients := []int{f.Domain * perDomain}
	if f.Share > 0 {
		clients = s.random.Perm(s.size.Domains * perDomain)[:shareOf(s.size.Domains*perDomain, f.Share)]
	}
	for _, i := range clients {
		c := client{sim: s, domain: i / perDomain, number: i % perDomain}
		lossy[c.address()] = true
		s.schedule(f.For, func() { delete(lossy, c.address()) })
	}
}

// injectTargetFault applies a fault to randomly selected targets.
func (s *simulation) injectTargetFault(f Fault) {
	for _, i := range s.random.Perm(len(s.targets))[:shareOf(len(s.targets), f.Share)] {
		t := s.targets[i]
		switch f.Kind {
		case CrashTargets:
			t.end()
			s.schedule(f.For, t.unlist)
		case ReuseAddresses:
			s.addTarget(t.domain).isUp = true // engines tell targets apart by id, so its address may differ
			s.publish()
			t.end()
			s.schedule(f.For, t.unlist)
		case SlowTargets:
			t.slowdown, t.disturbedAt = 10, s.now
			s.schedule(f.For, func() { t.slowdown, t.disturbedAt = 1, s.now })
		case FullTargets, LateProbes: // the target lives, undisturbed as far as its flows are concerned
			t.fault = f.Kind
			s.schedule(f.For, func() { t.fault = "" })
		case FailTargets, UnresponsiveTargets, HangTargets, LoseProbes:
			t.fault, t.disturbedAt = f.Kind, s.now
			s.schedule(f.For, func() { t.fault, t.disturbedAt = "", s.now })
		case FlapTargets:
			s.flap(t, s.now+f.For)
		case CutLinks:
			s.cutLink(t, f.For)
		case RestartTargets, RestartWithoutPort:
			t.crash(true)
			t.hasMachine = true
			s.schedule(f.For, func() { t.startAgain(f.Kind == RestartTargets) })
		case DrainTargets:
			s.replace(t, f.For)
		default:
			panic("unknown target fault: " + string(f.Kind))
		}
	}
}

// cutLink puts a target out of reach of one random VM of its domain for a while. Later cuts hit the same VM, as
// the silence of two VMs' probes counts as a death.
func (s *simulation) cutLink(t *target, duration clock.Millis) {
	if t.cutVM == none {
		t.cutVM = t.domain*s.size.VMs + s.random.IntN(s.size.VMs)
	}
	l := vmLink{vm: t.cutVM, target: t}
	s.trace("cut vm%d from %s", l.vm, t.spec.ID)
	s.cutUntil[l] = max(s.cutUntil[l], s.now+duration)
}

// flap alternately stops and restores a target until a point in time.
func (s *simulation) flap(t *target, until clock.Millis) {
	const phase = 500 * clock.Millisecond
	if s.now >= until {
		return
	}
	t.crash(false)
	s.schedule(phase, func() {
		t.restore()
		s.schedule(phase, func() { s.flap(t, until) })
	})
}

// replace starts a new target, marks the old one as leaving and stops it after the drain time.
func (s *simulation) replace(t *target, drain clock.Millis) {
	replacement := s.addTarget(t.domain)
	replacement.isUp = true
	t.listed.State = inband.Leaving
	s.publish()
	s.schedule(drain, func() {
		t.end()
		t.unlist()
	})
}

// shareOf returns a share of the total, rounded, but at least 1.
func shareOf(total int, share float64) int {
	return max(1, min(total, int(float64(total)*share+0.5)))
}
