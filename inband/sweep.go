package inband

import "github.com/almondflow/almondflow/clock"

// Lifetimes of flows that send no packets.
const (
	openingLifetime = 3 * clock.Second  // clients give up after 1.4 s
	endedLifetime   = 10 * clock.Second // targets retransmit their last packet for several seconds
)

// Slots of the flow table that a sweep checks.
const (
	minSlotsPerSweep = 256
	maxSlotsPerSweep = 1 << 14
	sweepsPerRound   = 4 // sweeps in a second
)

// hold adds a flow to its target's counts.
func (e *Engine) hold(f *flow) {
	f.backend.flows++
	e.load.track(f.backend)
}

// release removes a flow from its target's counts.
func (e *Engine) release(f *flow) {
	e.markIdle(f)
	f.backend.flows--
}

// endFlow ends a flow and removes it from its target's counts, once.
func (e *Engine) endFlow(f *flow) {
	if f.phase == ended {
		return
	}
	e.release(f)
	f.phase = ended
}

// removeFlow ends a flow and stops tracking it.
func (e *Engine) removeFlow(f *flow) {
	e.endFlow(f)
	e.flows.remove(f.key)
}

func (e *Engine) jitter() clock.Millis {
	return clock.Millis(e.random.IntN(int(minRetryInterval)))
}

// Sweep is called at least every maxInactivity/2. It records the outcomes of idle requests and removes expired flows, checking a limited
// number of slots per call. It also stops watching targets that have recovered.
func (e *Engine) Sweep(now clock.Millis) {
	e.recordActivity(now)
	e.watchlist.prune(now, e.byID)
	for range e.slotsPerSweep() {
		e.flows.sweepIndex = (e.flows.sweepIndex + 1) % len(e.flows.slots)
		f := &e.flows.slots[e.flows.sweepIndex]
		if f.backend == nil {
			continue
		}
		e.recordIdleOutcome(now, f)
		if f.isMetered && now-f.seenAt > e.callerTimeout(f) {
			e.stopMeter(f) // the client uses another VM or has given up
		}
		if !e.isExpired(now, f) {
			continue
		}
		e.removeFlow(f)
	}
	e.updateLoad(now)
	e.observePaces(now)
	e.updateSpills(now)
}

// callerTimeout returns the time after which a caller that sends nothing is taken to have given up its request.
func (e *Engine) callerTimeout(f *flow) clock.Millis {
	if route := e.routes[f.key.Destination]; route != nil && route.TimeoutMS > 0 {
		return route.TimeoutMS
	}
	return timeoutLifetime
}

// slotsPerSweep returns how many slots of the flow table a sweep checks. Where load is shared, each is checked
// once a second, as a request that ended unseen counts as load until then.
func (e *Engine) slotsPerSweep() int {
	slots := minSlotsPerSweep
	if e.load.isShared {
		slots = min(max(slots, len(e.flows.slots)/sweepsPerRound+1), maxSlotsPerSweep)
	}
	return min(slots, len(e.flows.slots))
}

func (e *Engine) isExpired(now clock.Millis, f *flow) bool {
	idle := now - f.seenAt
	switch f.phase {
	case opening:
		return idle > openingLifetime
	case ended:
		return idle > endedLifetime
	default:
		return idle > max(e.idle, endedLifetime) || now-f.openedAt > 2*e.options.FlowLifetime
	}
}
