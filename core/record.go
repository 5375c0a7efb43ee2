package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/table"
)

// Idle timeouts by flow state.
const (
	// openingTimeout applies to TCP flows that did not get past their first packet.
	openingTimeout = 30 * clock.Second
	// closingTimeout applies to TCP flows after a FIN.
	closingTimeout = 60 * clock.Second
	// closedTimeout applies to flows after a reset.
	closedTimeout = 10 * clock.Second
	// floodTimeout applies to opening flows while the table is nearly full.
	floodTimeout = 5 * clock.Second
)

// Intervals after which all copies of a record are sent again. A packet that carried a
// copy may have been lost, and a copy must not time out before its flow.
const (
	firstRefresh        = 1 * clock.Second
	refreshesPerTimeout = 3
)

// quietDivisor divides the idle timeout to give the time without packets after which a UDP
// flow no longer counts as load of its target. The end of a UDP flow is not visible, and
// counting ended flows for the whole idle timeout would skew the placement of new flows.
const quietDivisor = 8

// state is the state of a flow as far as its packets show.
type state uint8

const (
	opening state = iota
	established
	closing
	closed
)

// record is the state of one flow. It contains no pointers, so that the garbage collector
// need not scan the flow table.
type record struct {
	target       flow.Target
	lastSeen     clock.Millis
	lastCopied   clock.Millis
	tableVersion uint32 // version of the tables that the target was last validated against
	signature    uint32 // holderSignature of the holders that copies refers to
	idleTimeout  uint32 // in milliseconds
	state        state
	copies       uint8 // bit set of the ranks that have a copy
	copyRounds   uint8 // rounds of copies started, at most 2
	flags        recordFlags
}

// recordFlags are the boolean properties of a record.
type recordFlags uint8

const (
	owned           recordFlags = 1 << iota // served by this VM
	counted                                 // counted in the Placer by this VM
	decided                                 // the target is final
	payloadSent                             // at least one payload byte was forwarded
	nonRepeatable                           // the flow must not reach a second target
	forwarded                               // this VM forwarded packets of the flow
	refusedByTarget                         // the target reset the flow before any payload was sent
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
	return FlowInfo{Key: *key, Target: r.target, Owned: r.has(owned), Decided: r.has(decided), Idle: now - r.lastSeen}
}

// refusedTargetID is the ID that stands for a decided refusal in place of a target.
const refusedTargetID = ^flow.TargetID(0)

// isQuiet reports whether a UDP flow has been without packets for so long that it may have
// ended.
func (r *record) isQuiet(now clock.Millis, protocol flow.Protocol) bool {
	return protocol == flow.UDP && now-r.lastSeen >= clock.Millis(r.idleTimeout)/quietDivisor
}

func (r *record) isRefusal() bool { return r.target.ID() == refusedTargetID }

// initialize sets up a new record for a route. Non-repeatable UDP flows expire after at
// most the lifetime of an opening packet, because any of their later packets could open
// the flow again at a VM that was restarted in the meantime.
func (r *record) initialize(now clock.Millis, route *table.Route, target flow.Target, version uint64, lifetime clock.Millis) {
	r.target = target
	r.lastSeen = now
	r.lastCopied = now
	r.tableVersion = uint32(version)
	idle := route.IdleTimeout()
	if !route.Repeatable() && route.Protocol() == flow.UDP {
		idle = min(idle, lifetime)
	}
	r.idleTimeout = uint32(idle)
	r.set(nonRepeatable, !route.Repeatable())
}

// timeout returns the time without packets after which the record expires.
func (r *record) timeout(protocol flow.Protocol, lifetime clock.Millis, nearlyFull bool) clock.Millis {
	idle := clock.Millis(r.idleTimeout)
	if r.has(nonRepeatable) {
		return max(r.stateTimeout(protocol, idle, false), lifetime)
	}
	return r.stateTimeout(protocol, idle, nearlyFull)
}

func (r *record) stateTimeout(protocol flow.Protocol, idle clock.Millis, nearlyFull bool) clock.Millis {
	switch {
	case r.state == closed:
		return closedTimeout
	case r.state == closing:
		return min(idle, closingTimeout)
	case r.state == opening && nearlyFull:
		return min(idle, floodTimeout)
	case r.state == opening && protocol == flow.TCP:
		return min(idle, openingTimeout)
	default:
		return idle
	}
}

// observe updates the flow state for a packet from the client.
func (r *record) observe(now clock.Millis, p *packet.Packet, protocol flow.Protocol) {
	first := r.lastSeen == now && r.state == opening && !r.has(forwarded)
	r.lastSeen = now
	if p.PayloadLength() > 0 {
		r.set(payloadSent, true)
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

// spreadOf returns how the holders of a flow are distributed over failure domains.
func spreadOf(repeatable bool) fleet.Spread {
	if repeatable {
		return fleet.TwoInHomeDomain
	}
	return fleet.DistinctDomains
}
