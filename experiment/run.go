package experiment

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Run plays a pattern with a policy and returns what it showed.
func Run(size Size, pattern Pattern, policyName string, policy inband.Policy, seed uint64) Report {
	w := newWorld(size, policy, seed)
	for _, t := range w.targets {
		t.isUp = true
	}
	w.addClients()
	for _, f := range pattern.Faults {
		w.after(f.At, func() { w.strike(f) })
	}
	w.runUntil(size.Duration)
	w.report.Pattern, w.report.Policy, w.report.Seed = pattern.Name, policyName, seed
	w.report.close(w.targets)
	return w.report
}

func (w *world) addClients() {
	for domain := range w.size.Domains {
		for i := range w.size.Feeds {
			c := &client{world: w, domain: domain, number: i, isFeed: true}
			w.clients = append(w.clients, c)
			w.after(clock.Millis(w.random.Int64N(int64(w.size.FeedGap))), c.feed)
		}
		w.hold(domain, w.size.Feeds)
	}
}

// feed asks again and again on one flow.
func (c *client) feed() {
	w := c.world
	if c.request == nil || c.request.isDone {
		c.ask()
	}
	gap := float64(w.size.FeedGap) * (0.5 + w.random.Float64()) / w.load
	w.after(clock.Millis(gap), c.feed)
}

// hold lets a new client ask once, again and again.
func (w *world) hold(domain, number int) {
	gap := clock.Millis(1000 * w.random.ExpFloat64() / (w.size.HoldsPS * w.load))
	w.after(gap, func() {
		c := &client{world: w, domain: domain, number: number}
		c.ask()
		w.hold(domain, number+1)
	})
}

// strike begins a fault and plans its end.
func (w *world) strike(f Fault) {
	switch f.Kind {
	case CutDomain:
		w.cutOff = f.Domain
		w.after(f.For, func() { w.cutOff = none; w.healed = w.now; w.publish() })
	case CutOneWay:
		w.oneWay = f.Domain
		w.after(f.For, func() { w.oneWay = none; w.healed = w.now })
	case LosePackets:
		w.lossy = f.Share
		w.after(f.For, func() { w.lossy = 0; w.healed = w.now })
	case Burst:
		w.load = 1 + f.Share
		w.after(f.For, func() { w.load = 1 })
	case Shift:
		w.shifted = f.Domain
		w.after(f.For, func() { w.shifted = none })
	case KillVMs, FreezeVMs:
		w.strikeVMs(f)
	default:
		w.strikeTargets(f)
	}
}

func (w *world) strikeVMs(f Fault) {
	for _, i := range w.random.Perm(len(w.vms))[:part(len(w.vms), f.Share)] {
		v := w.vms[i]
		if f.Kind == FreezeVMs {
			v.freeze()
			w.after(f.For, v.wake)
			continue
		}
		v.stop()
		w.after(f.For, v.start)
	}
}

func (w *world) strikeTargets(f Fault) {
	for _, i := range w.random.Perm(len(w.targets))[:part(len(w.targets), f.Share)] {
		t := w.targets[i]
		switch f.Kind {
		case DarkTargets:
			t.goDark(true)
			w.after(f.For, t.unlist)
		case ReuseTargets:
			w.addTarget(t.domain).isUp = true // known by its id, as the old one is
			w.publish()
			t.goDark(true)
			w.after(f.For, t.unlist)
		case GreyTargets:
			t.speed, t.disturbedAt = 10, w.now
			w.after(f.For, func() { t.speed, t.disturbedAt = 1, w.now })
		case FailTargets, MuteTargets:
			t.trouble, t.disturbedAt = f.Kind, w.now
			w.after(f.For, func() { t.trouble, t.disturbedAt = "", w.now })
		case FlapTargets:
			w.flap(t, w.now+f.For)
		case DrainTargets:
			w.replace(t, f.For)
		default:
			panic("no such fault of targets: " + string(f.Kind))
		}
	}
}

// flap lets a target be dark and back by turns.
func (w *world) flap(t *target, until clock.Millis) {
	const turn = 500 * clock.Millisecond
	if w.now >= until {
		return
	}
	t.goDark(false)
	w.after(turn, func() {
		t.comeBack()
		w.after(turn, func() { w.flap(t, until) })
	})
}

// replace starts a new target and lets the old one leave.
func (w *world) replace(t *target, drain clock.Millis) {
	fresh := w.addTarget(t.domain)
	fresh.isUp = true
	t.listed.State = inband.Leaving
	w.publish()
	w.after(drain, func() {
		t.goDark(true)
		t.unlist()
	})
}

func part(of int, share float64) int {
	return max(1, min(of, int(float64(of)*share+0.5)))
}
