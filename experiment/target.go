package experiment

import (
	"math"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Sizes of responses, in bytes.
const (
	responseLength      = 1000
	errorResponseLength = 150
)

// failureRate is the share of requests that a target with a fault fails.
const failureRate = 0.5

// maxQueued is the number of requests that wait at a target before it sheds further ones.
const maxQueued = 8

// targetFlow is a flow as its target sees it.
type targetFlow struct {
	client  *client
	key     inband.Key
	nextSeq uint32
	running bool   // a request is queued or in progress
	ack     uint32 // sequence number after the last byte that the target sent
	acked   uint32 // the newest of them that the client acknowledged
	isError bool   // the latest response is an error
}

// targetPacket is a packet from a target to its client.
type targetPacket struct {
	tag       inband.Tag
	ack       uint32 // sequence number after the last byte that the target sent
	nextSeq   uint32 // sequence number that the target expects next
	isOpening bool
	isLast    bool // the target is leaving and ends the flow
	isError   bool // the request failed
}

// target is a simulated host.
type target struct {
	sim          *simulation
	domain       int
	spec         inband.Target // its properties, which do not change
	listed       inband.Target // as the store lists it
	isUp         bool          // not down when it last received a packet or was restored
	hasEnded     bool          // stopped for good
	isDown       bool          // does not answer
	slowdown     float64       // factor on the processing time
	fault        FaultKind     // of the target's answers or of connections to it, or empty
	isPortless   bool          // this start refuses connections
	unansweredAt clock.Millis  // when the newest probe was sent that it did not accept
	cutVM        int           // the VM whose links to it CutLinks fails, or none
	hasMachine   bool          // its machine runs without it, and refuses connections
	inProgress   int           // requests that occupy a slot
	queue        []*targetFlow
	flows        map[inband.Key]*targetFlow
	requests     int          // received so far
	disturbedAt  clock.Millis // when a fault last started or ended
}

// receive processes a client's packet.
func (t *target) receive(c *client, p inband.Packet) {
	t.isUp = !t.isDown
	if t.isDown || t.fault == HangTargets || t.fault == FullTargets && p.IsOpening() && t.flows[p.Key] == nil {
		return
	}
	f := t.flows[p.Key]
	if f != nil && !p.IsOpening() && int32(p.Ack-f.acked) > 0 {
		f.acked = p.Ack
	}
	switch {
	case p.IsOpening():
		if f == nil {
			t.sim.countOpening(t)
			f = &targetFlow{client: c, key: p.Key, nextSeq: p.Seq + 1, ack: 1000 * uint32(t.spec.Identity)}
			t.flows[p.Key] = f
		}
		t.respond(f, p.Tag, true)
	case f == nil && p.Flags.Has(inband.Resetting):
	case f == nil:
		t.sim.schedule(clientLatency, func() { c.handleReset(p.Key) })
	case p.Flags.Has(inband.Ending), p.Flags.Has(inband.Resetting):
		delete(t.flows, p.Key)
	case p.DataLength > 0 && p.Seq == f.nextSeq && !f.running:
		f.nextSeq += uint32(p.DataLength)
		f.running = true
		t.requests++
		t.enqueue(f, p.Tag)
	case p.DataLength > 0 && !f.running:
		t.respond(f, p.Tag, false) // the response was lost
	}
}

// enqueue starts a request, queues it while all slots are occupied or sheds it when the queue
// is full.
func (t *target) enqueue(f *targetFlow, tag inband.Tag) {
	if t.inProgress >= t.spec.Slots {
		if len(t.queue) < maxQueued {
			t.queue = append(t.queue, f)
			return
		}
		f.running = false
		t.sim.countShed()
		t.sim.schedule(clientLatency, func() { f.client.handleShed(f.key) })
		return
	}
	t.process(f, tag)
}

// countShed counts a request that a target rejects.
func (s *simulation) countShed() {
	s.report.Shed++
	hasRoom := func(t *target) bool {
		return !t.isDown && t.fault == "" && t.listed.State == inband.Serving && t.inProgress < t.spec.Slots
	}
	if slices.ContainsFunc(s.targets, hasRoom) {
		s.report.ShedBesideRoom++
	}
}

// process occupies a slot for a random time and then completes the request.
func (t *target) process(f *targetFlow, tag inband.Tag) {
	t.inProgress++
	mean := float64(t.sim.size.ProcessingTime) * t.slowdown
	duration := mean * math.Exp(0.5*t.sim.random.NormFloat64()-0.125)
	t.sim.schedule(clock.Millis(duration)+1, func() {
		t.inProgress--
		f.running = false
		t.complete(f, tag)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.process(next, tag)
		}
	})
}

// complete responds to a processed request, unless a fault makes it fail.
func (t *target) complete(f *targetFlow, tag inband.Tag) {
	isFailing := (t.fault == FailTargets || t.fault == UnresponsiveTargets) && t.sim.random.Float64() < failureRate
	if isFailing && t.fault == UnresponsiveTargets {
		f.running = true // the request is never answered and occupies no slot
		return
	}
	f.isError = isFailing
	f.ack += responseLength
	if isFailing {
		f.ack -= responseLength - errorResponseLength
	}
	t.retransmit(f, tag, f.ack, minRetransmitInterval)
}

// retransmit sends a response, and again at doubling intervals until the client acknowledges it.
func (t *target) retransmit(f *targetFlow, tag inband.Tag, ack uint32, interval clock.Millis) {
	if f.ack != ack || int32(f.acked-ack) >= 0 || t.flows[f.key] != f {
		return
	}
	if !t.isDown && t.fault != HangTargets {
		t.respond(f, tag, false)
	}
	t.sim.schedule(interval, func() { t.retransmit(f, tag, ack, min(2*interval, maxRetransmitInterval)) })
}

// respond sends the client the current state of its flow.
func (t *target) respond(f *targetFlow, tag inband.Tag, isOpening bool) {
	s := t.sim
	if s.deaf[f.key.Client.Addr()] || s.lossRate > 0 && s.random.Float64() < s.lossRate {
		return
	}
	response := targetPacket{tag: tag, ack: f.ack, nextSeq: f.nextSeq, isOpening: isOpening, isLast: !isOpening && t.listed.State == inband.Leaving, isError: f.isError}
	s.schedule(clientLatency, func() { f.client.receive(f.key, response) })
}

// isLostFor reports whether the target was lost for the VMs of a domain at some time before a point in
// time, and has been since: it crashed, or the domain is partitioned from it.
func (t *target) isLostFor(domain int, at, before clock.Millis) bool {
	s := t.sim
	if t.isDown && at-t.disturbedAt >= before {
		return true
	}
	return domain != t.domain && (s.partitioned == domain || s.partitioned == t.domain) && at-s.partitionedAt >= before
}

// isDegraded reports whether the target is slow or fails requests.
func (t *target) isDegraded() bool {
	return t.slowdown != 1 || t.fault != "" && t.fault != FullTargets && t.fault != LateProbes
}

// crash stops the target from answering. A permanent crash also discards its flows and queue;
// the caller marks its entry in the store as gone later.
func (t *target) crash(isPermanent bool) {
	t.sim.trace("%s stops, permanently=%v", t.spec.ID, isPermanent)
	t.isDown, t.disturbedAt = true, t.sim.now
	t.hasMachine = t.sim.random.IntN(2) == 0
	if isPermanent {
		t.flows = map[inband.Key]*targetFlow{}
		t.queue = nil
	}
}

// end stops the target for good.
func (t *target) end() {
	t.crash(true)
	t.hasEnded = true
}

// restore makes the target answer again, with the flows that it had, unless it has ended.
func (t *target) restore() {
	if t.hasEnded {
		return
	}
	t.sim.trace("%s answers again", t.spec.ID)
	t.isDown, t.isUp, t.disturbedAt = false, true, t.sim.now
}

// startAgain starts a stopped target under its id, unless it has ended.
func (t *target) startAgain(acceptsConnections bool) {
	if t.hasEnded {
		return
	}
	t.restore()
	t.isPortless = !acceptsConnections
	t.listed.StartedAtMS = int64(t.sim.now)
	t.sim.publish()
}

// unlist marks the target's entry in the store as gone.
func (t *target) unlist() {
	t.sim.trace("%s leaves the store", t.spec.ID)
	t.listed.State = inband.Gone
	t.sim.publish()
}
