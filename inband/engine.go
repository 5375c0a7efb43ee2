package inband

import (
	"math/rand/v2"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/outcome"
	"github.com/almondflow/almondflow/region"
)

// maxInactivity is the longest time between two sweeps of a process that runs, with room for one that is
// late. A longer one means that the process stood still.
const maxInactivity = 500 * clock.Millisecond

// Options configures an Engine.
type Options struct {
	Domain       string       // failure domain of the entry VM
	Policy       Policy       // chooses the targets of new flows
	MaxFlows     int          // limit on tracked flows; further flows are forwarded untracked
	FlowLifetime clock.Millis // expected maximum age of a flow; flows older than twice that are removed
	Seed         uint64       // seed of random choices
	SharesLoad   bool         // entry VMs tell each other what they have under way at targets
	// SlowStartRank returns the place of this VM among those of its failure domain that open flows at a target
	// in slow start, and their number, which is zero while they are not known. Without it, slow starts have no
	// limit.
	SlowStartRank func(now clock.Millis, targetID string) (rank, vms int)
	// RefusesByUrgency has package admission decide which openings are refused for lack of room.
	RefusesByUrgency bool
}

// Engine decides what happens to each packet. It is not safe for concurrent use.
type Engine struct {
	options          Options
	random           *rand.Rand
	version          int64
	idle             clock.Millis
	routes           map[netip.AddrPort]*Route
	routedServices   map[string]bool // services that routes lead to
	byTag            map[Tag]*Backend
	byID             map[string]*Backend
	pools            map[string]*pool
	maxConnections   map[string]int  // flows that one target holds, by service; zero is no limit
	drained          map[string]bool // failure domains whose targets get no new flows
	regions          region.Map      // of failure domains
	local            []*Backend      // targets of the own failure domain
	contactIndex     int             // in local, of the last target that FirstContact checked
	flows            *flowTable
	holdOffUntil     clock.Millis // until when this VM resets no flows and sends no reports
	hasNewSuspicions bool         // a target timed out since the last TakeSuspicions
	activeAt         clock.Millis // when a packet or a sweep was last handled
	resumedAt        clock.Millis // when the process last went on after it had stood still
	links            map[string]*link
	watchlist        watchlist
	sizes            map[netip.AddrPort]*outcome.Sizes // response sizes, by address of the route
	load             *loadState
	compared         []*pool            // those of which the load of failure domains is compared
	slowStartRates   map[string]float64 // requests per second that a target in slow start bears, by service
	shedRequests     int64              // requests that full targets shed since the last TakeShedRequests
	remoteOpenings   int                // new flows sent to targets of other failure domains
	localVMs         int                // entry VMs in the own failure domain, including this one
}

// New returns an engine without tables, which drops every packet.
func New(options Options) *Engine {
	return &Engine{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, uint64(options.MaxFlows))),
		routes:   map[netip.AddrPort]*Route{},
		byTag:    map[Tag]*Backend{},
		byID:     map[string]*Backend{},
		pools:    map[string]*pool{},
		flows:    newFlowTable(64),
		links:    map[string]*link{},
		sizes:    map[netip.AddrPort]*outcome.Sizes{},
		load:     newLoadState(&options),
		localVMs: 1,

		slowStartRates: map[string]float64{},
	}
}

// SetLocalVMs sets the number of entry VMs in this VM's failure domain, including this one. They
// are assumed to load the same targets equally. The least number is 1.
func (e *Engine) SetLocalVMs(vms int) { e.localVMs = max(1, vms) }

// recordActivity notices that the process stood still: callers sweep more often than every maxInactivity.
func (e *Engine) recordActivity(now clock.Millis) {
	if now-e.activeAt >= maxInactivity {
		e.resumedAt = now
		e.forgetUnansweredProbes()
	}
	e.activeAt = max(e.activeAt, now)
}

// isMeasurable reports whether silence after a flow's newest packet can be measured. After the process
// stood still, answers that came meanwhile may be read later than copies of the packet.
func (e *Engine) isMeasurable(f *flow) bool { return f.sentAt >= e.resumedAt }

// Handle decides what happens to one packet of a client.
func (e *Engine) Handle(now clock.Millis, p *Packet) Verdict {
	e.recordActivity(now)
	f := e.flows.find(p.Key)
	if p.IsOpening() {
		return e.handleOpening(now, p, f)
	}
	return e.handleOngoing(now, p, f)
}

// handleOpening places a new flow or moves one that is not open yet. A copy that can't be served is dropped, not
// reset: an earlier one may have reached a target through this VM or another, and the flow may be open there by
// now. Its client tries again, or gets that target's answer.
func (e *Engine) handleOpening(now clock.Millis, p *Packet, f *flow) Verdict {
	isCopy := p.Ack > 0 || f.isOpenedBy(p)
	verdict := e.placeOpening(now, p, f)
	if verdict.Action == Reset && isCopy {
		verdict.Action = Drop
	}
	return verdict
}

// placeOpening places a new flow. An opening with another number than the tracked one is a new flow of a
// client that reuses its port.
func (e *Engine) placeOpening(now clock.Millis, p *Packet, f *flow) Verdict {
	route := e.routes[p.Key.Destination]
	if route == nil {
		if f != nil && f.phase == opening {
			e.removeFlow(f) // before its silence counts against the target
		}
		return Verdict{Action: Reset, Reason: NoRoute, Seq: p.Seq}
	}
	if f.isOpenedBy(p) {
		return e.handleRetransmit(now, p, f, route)
	}
	if f != nil {
		e.removeFlow(f)
	}
	if p.Ack > 0 {
		return e.placeFlow(now, p, route, nil, PlacedLate)
	}
	return e.placeFlow(now, p, route, nil, Placed)
}

// handleRetransmit handles a copy of an opening. It goes to the same target, unless that did not answer in
// time or may not get the flow any more: the tables and the targets may have changed since the first copy.
func (e *Engine) handleRetransmit(now clock.Millis, p *Packet, f *flow, route *Route) Verdict {
	f.seenAt = now
	f.retransmits++
	previous := f.backend
	if e.isTimedOutOpening(now, f) {
		e.recordTimeout(now, f, false)
		verdict := e.placeAgain(now, p, f, route, previous, MovedUnresponsive)
		verdict.Unresponsive = previous
		return verdict
	}
	if route.leadsTo(previous.target.Service) && e.mayUse(route, previous) && previous.acceptsNewFlows(now) {
		e.resumeMeter(f)
		return forward(previous, Repeated)
	}
	return e.placeAgain(now, p, f, route, nil, MovedUnavailable)
}

// placeAgain chooses another target for a flow that is not open yet, and remembers those of earlier copies.
func (e *Engine) placeAgain(now clock.Millis, p *Packet, f *flow, route *Route, avoid *Backend, reason Reason) Verdict {
	earlier := *f
	e.removeFlow(f)
	verdict := e.placeFlow(now, p, route, avoid, reason)
	if f := e.flows.find(p.Key); f != nil {
		f.otherTags = earlier.otherTags
		f.addOtherTarget(earlier.backend.tag)
	}
	return verdict
}

// isTimedOutOpening reports whether a copy of the flow's opening shows that its target did not answer in
// time. If the process stood still meanwhile, the time is measured from this copy on.
func (e *Engine) isTimedOutOpening(now clock.Millis, f *flow) bool {
	if now-f.sentAt < answerTimeout {
		return false
	}
	if !e.isMeasurable(f) {
		f.sentAt = now
		return false
	}
	return true
}

// placeFlow chooses a target for a new flow and starts tracking the flow.
func (e *Engine) placeFlow(now clock.Millis, p *Packet, route *Route, avoid *Backend, reason Reason) Verdict {
	pool := e.poolFor(route, e.chooseService(route))
	b := e.chooseTarget(now, pool, avoid)
	if b == nil {
		return Verdict{Action: Reset, Reason: pool.unavailable(), Seq: p.Seq}
	}
	if b = e.admit(now, reason, route, pool, b); b == nil {
		return e.refuse(now, p, reason)
	}
	if b.evidence.isSuspect(now) {
		b.evidence.scheduleRetry(now, e.jitter())
	}
	e.recordSlowStart(now, b)
	if b.target.Domain != e.options.Domain {
		e.remoteOpenings++
	}
	if e.flows.len() < e.options.MaxFlows {
		f := e.flows.add(p.Key)
		f.backend = b
		f.openedAt, f.seenAt, f.sentAt = now, now, now
		f.startAt(p.Seq)
		e.hold(f)
		e.markBusy(f)
	}
	return forward(b, reason)
}

// handleOngoing forwards a packet of an existing flow to the flow's target.
func (e *Engine) handleOngoing(now clock.Millis, p *Packet, f *flow) Verdict {
	if f == nil {
		return e.handleUntracked(now, p)
	}
	if f.isReset {
		return e.handleAfterReset(now, p, f)
	}
	if p.Tag != 0 && p.Tag != f.backend.tag && e.byTag[p.Tag] == nil {
		return Verdict{Action: Drop, Reason: UnknownTag} // names an unknown target, not the one chosen by this VM
	}
	if f.phase == opening {
		if p.Flags.Has(Acknowledging) { // a client that gives up has received nothing
			e.confirmTarget(now, p, f)
		}
	} else if e.isPortReuse(now, p, f) {
		e.removeFlow(f)
		return e.handleUntracked(now, p)
	}
	f.seenAt = now
	timedOut := e.observePacket(now, p, f)
	b := f.backend
	if p.Flags.Has(Resetting) {
		e.recordResponse(now, f)
		e.removeFlow(f)
		return forward(b, Forwarded)
	}
	if p.Flags.Has(Ending) {
		e.recordResponse(now, f)
		e.endFlow(f)
	}
	if loss := e.lossOnData(now, p, f); loss != outcome.NotLost {
		e.endByReset(f)
		return Verdict{Action: Reset, Reason: TargetDead, Seq: p.Ack, Backend: b, Loss: loss}
	}
	if timedOut {
		return forward(b, Unanswered)
	}
	return forward(b, Forwarded)
}

// handleUntracked forwards a packet of a flow that was opened through another entry VM.
func (e *Engine) handleUntracked(now clock.Millis, p *Packet) Verdict {
	b := e.byTag[p.Tag]
	if b == nil {
		return Verdict{Action: Drop, Reason: UnknownTag}
	}
	if !p.Flags.Has(Ending) && !p.Flags.Has(Resetting) && e.flows.len() < e.options.MaxFlows {
		f := e.flows.add(p.Key)
		f.backend, f.phase = b, open
		f.openedAt, f.seenAt, f.sentAt = now, now, now
		f.ack = p.Ack
		f.startAt(p.Seq)
		f.recordForwarded(p)
		e.hold(f)
		f.hasRequested = true // which request it is, is not known, so each counts for the slow start
		if p.DataLength > 0 {
			e.markBusy(f)
			e.recordSlowStart(now, b)
		}
		f.hasOutcome = p.DataLength == 0 // there is no request yet
	}
	return forward(b, Forwarded)
}

// confirmTarget sets the flow's target to the one that answered. If the opening and its
// retransmission went to two targets, the client's next packet names the target it chose.
func (e *Engine) confirmTarget(now clock.Millis, p *Packet, f *flow) {
	if b := e.byTag[p.Tag]; b != nil && b != f.backend {
		e.release(f)
		f.choose(b)
		e.hold(f)
	} else {
		e.recordAnswer(now, f)
	}
	f.phase = open
	f.ack = p.Ack
	f.startAt(p.Seq)
	f.hasOutcome = true // there is no request yet
	e.markIdle(f)
}
