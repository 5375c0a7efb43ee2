package core

import (
	"sync"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/flowtable"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
	"github.com/almondflow/almondflow/table"
)

// maxHops limits how often a packet is passed between entry VMs whose views differ.
const maxHops = 4

// shard is an independently locked part of the flow table.
type shard struct {
	mutex         sync.Mutex
	node          *Node
	flows         *flowtable.Table[record]
	instances     map[uint64]*instance
	decisions     map[fleet.ID][]uint64 // hashes of decided flows, by the VM to report them to
	sweepPosition int                   // next slot to sweep
	openings      int                   // opening flows, as of the last full sweep and later insertions
	openingsSeen  int                   // opening flows counted so far by the current sweep
	retries       retryTracker          // retransmissions of clients while this side is the minority
	message       steer.Message         // reused for sending
	replyBuffer   []byte                // reused for refusals
	encodeBuffer  []byte                // reused for computing message sizes
}

func (s *shard) init(n *Node) {
	s.node = n
	s.flows = flowtable.New[record]()
	s.instances = make(map[uint64]*instance)
	s.decisions = make(map[fleet.ID][]uint64)
}

// flowContext is the context of handling one packet or message, or of maintaining one
// flow.
type flowContext struct {
	now     clock.Millis
	view    *view
	packet  *packet.Packet
	key     flow.Key
	hash    uint64
	route   *table.Route
	holders fleet.Holders
	hops    uint8
	sink    Sink
	limiter RateLimiter // overrides the Node's rate limiter if not nil
}

func (s *shard) self() fleet.ID { return s.node.options.Self }

// owner returns the holder that serves the flow, or 0 if there is none. It is the first
// holder that is considered alive and, for non-repeatable flows, is not in quarantine.
func (s *shard) owner(fc *flowContext) fleet.ID {
	for i := range fc.holders.Len() {
		id := fc.holders.At(i)
		if !fc.view.alive(id, s.self()) {
			continue
		}
		if !fc.route.Repeatable() && s.isQuarantined(fc, id) {
			continue
		}
		return id
	}
	return 0
}

// isQuarantined reports whether a VM started too recently to vote.
func (s *shard) isQuarantined(fc *flowContext, id fleet.ID) bool {
	if s.node.options.Defect == DefectNoQuarantine {
		return false
	}
	if id == s.self() {
		return fc.now < s.node.options.StartTime+s.node.options.OpeningLifetime
	}
	return fc.view.peers.find(id).Quarantined
}

// datagramOverhead is the size in bytes of the headers of a message without a packet: IP,
// UDP, Geneve and the authentication tag.
const datagramOverhead = 80

// send sends a message to another entry VM, together with queued decisions for that VM. A
// message without a packet is control traffic: if the rate limit does not allow it, send
// reports false and sends nothing.
func (s *shard) send(fc *flowContext, to fleet.ID, m *steer.Message, inner []byte) bool {
	s.setSender(fc.view, m)
	m.Hops = fc.hops + 1
	queued := s.decisions[to]
	count := copy(m.DecidedFlows[:], queued)
	m.DecidedFlowCount = uint8(count)
	if len(inner) == 0 && !s.isWithinRateLimit(fc, m) {
		return false
	}
	if count > 0 {
		s.decisions[to] = append(queued[:0], queued[count:]...)
	}
	fc.sink.SendToPeer(to, m, inner)
	return true
}

// isWithinRateLimit reports whether the rate limit allows a control message.
func (s *shard) isWithinRateLimit(fc *flowContext, m *steer.Message) bool {
	limiter := fc.limiter
	if limiter == nil {
		limiter = s.node.options.RateLimiter
	}
	if limiter == nil {
		return true
	}
	s.encodeBuffer = m.Append(s.encodeBuffer[:0])
	return limiter(fc.now, m.Kind, len(s.encodeBuffer)+datagramOverhead)
}

// setSender fills in the sender's identity and the version of its member list.
func (s *shard) setSender(v *view, m *steer.Message) {
	m.From = s.self()
	m.Incarnation = s.node.options.Incarnation
	m.ListVersion = v.list().Version()
}

// steerTo passes the packet to another entry VM.
func (s *shard) steerTo(fc *flowContext, to fleet.ID) result.Code {
	if fc.hops >= maxHops {
		return result.DroppedHops
	}
	s.message = steer.Message{Kind: steer.Steer}
	s.send(fc, to, &s.message, fc.packet.Bytes())
	return result.Steered
}

// isFull reports whether the shard has no room for a new flow. Opening flows may take only
// half of the shard, so that a flood of first packets leaves room for flows handed over by
// other entry VMs.
func (s *shard) isFull() bool {
	limit := s.node.options.MaxFlows / len(s.node.shards)
	return s.flows.Len() >= limit || s.openings >= limit/2
}
