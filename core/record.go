package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/table"
)

// Timeouts of flow states.
const (
	// openingTimeout ends TCP flows that never got past their first packet.
	openingTimeout = 30 * clock.Second
	// closingTimeout ends TCP flows after a FIN.
	closingTimeout = 60 * clock.Second
	// closedTimeout ends flows after a reset.
	closedTimeout = 10 * clock.Second
	// floodTimeout ends opening flows while they crowd the table.
	floodTimeout = 5 * clock.Second
)

// Spans after which a record is copied once more, since a packet that carried it may
// have been lost and a copy must not idle out before its flow.
const (
	firstRefresh        = 1 * clock.Second
	refreshesPerTimeout = 3
)

// quietParts is the part of its idle timeout after which a UDP flow without packets no
// longer counts as load of its target. UDP has no end that could be seen, and a count
// that kept ended flows for a whole idle timeout would steer new ones to the wrong target.
const quietParts = 8

type state uint8

const (
	opening state = iota
	established
	closing
	closed
)

// record is what is held of one flow. It has no pointers.
type record struct {
	target    flow.Target
	seen      clock.Millis
	copied    clock.Millis
	table     uint32 // version of the tables the target was last checked against
	signature uint32 // of the holders that copies refers to
	idle      uint32 // idle timeout in milliseconds
	state     state
	copies    uint8 // ranks that have a copy
	rounds    uint8 // times the copies were completed
	flags     recordFlags
}

type recordFlags uint8

const (
	owned   recordFlags = 1 << iota // served by this VM
	counted                         // counted in the Placer by this VM
	decided                         // the target can never change
	payload                         // a payload byte was forwarded
	unique                          // the flow may not be repeated
	served                          // this VM forwarded packets of the flow
	refused                         // the target refused the flow untouched
)

func (r *record) has(f recordFlags) bool { return r.flags&f != 0 }

func (r *record) set(f recordFlags, on bool) {
	if on {
		r.flags |= f
	} else {
		r.flags &^= f
	}
}

func (r *record) info(now clock.Millis, key *flow.Key) FlowInfo {
	return FlowInfo{Key: *key, Target: r.target, Owned: r.has(owned), Decided: r.has(decided), Idle: now - r.seen}
}

// refusal is the value that a flow's register holds when the flow was refused.
const refusal = ^flow.TargetID(0)

// isQuiet reports whether a flow is so long without packets that it may have ended.
func (r *record) isQuiet(now clock.Millis, protocol flow.Protocol) bool {
	return protocol == flow.UDP && now-r.seen >= clock.Millis(r.idle)/quietParts
}

func (r *record) isRefusal() bool { return r.target.ID() == refusal }

// initialize fills a new record for a route. A UDP flow that may not be repeated is over
// once it was idle for the lifetime of an opening packet, because any of its packets could
// open it again at a VM that restarted meanwhile.
func (r *record) initialize(now clock.Millis, route *table.Route, target flow.Target, version uint64, lifetime clock.Millis) {
	r.target = target
	r.seen = now
	r.copied = now
	r.table = uint32(version)
	idle := route.IdleTimeout()
	if !route.Repeatable() && route.Protocol() == flow.UDP {
		idle = min(idle, lifetime)
	}
	r.idle = uint32(idle)
	r.set(unique, !route.Repeatable())
}

// timeout returns the span without packets after which the record is dropped.
func (r *record) timeout(protocol flow.Protocol, lifetime clock.Millis, crowded bool) clock.Millis {
	idle := clock.Millis(r.idle)
	if r.has(unique) {
		return max(r.stateTimeout(protocol, idle, false), lifetime)
	}
	return r.stateTimeout(protocol, idle, crowded)
}

func (r *record) stateTimeout(protocol flow.Protocol, idle clock.Millis, crowded bool) clock.Millis {
	switch {
	case r.state == closed:
		return closedTimeout
	case r.state == closing:
		return min(idle, closingTimeout)
	case r.state == opening && crowded:
		return min(idle, floodTimeout)
	case r.state == opening && protocol == flow.TCP:
		return min(idle, openingTimeout)
	default:
		return idle
	}
}

// observe follows the state of the flow by a packet from its client.
func (r *record) observe(now clock.Millis, p *packet.Packet, protocol flow.Protocol) {
	first := r.seen == now && r.state == opening && !r.has(served)
	r.seen = now
	if p.PayloadLength() > 0 {
		r.set(payload, true)
	}
	if protocol != flow.TCP {
		if !first && r.state == opening {
			r.state = established
		}
		return
	}
	flags := p.Flags()
	switch {
	case flags&packet.RST != 0:
		r.state = closed
	case flags&packet.FIN != 0:
		r.state = closing
	case flags&packet.SYN == 0 && r.state == opening:
		r.state = established
	}
}

func spreadOf(repeatable bool) fleet.Spread {
	if repeatable {
		return fleet.HomePair
	}
	return fleet.EachDomain
}
