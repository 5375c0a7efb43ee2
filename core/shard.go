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

// maxHops bounds how often a packet is passed on between entry VMs whose views differ.
const maxHops = 4

// shard is one independently locked part of the flow table.
type shard struct {
	mutex     sync.Mutex
	node      *Node
	flows     *flowtable.Table[record]
	registers map[uint64]*register
	settled   map[fleet.ID][]uint64 // decided flows to tell each VM of
	position  int                   // of the sweep
	openings  int                   // opening flows at the end of the last full sweep
	counting  int                   // opening flows seen by the sweep under way
	tries     tries                 // of clients while this side is a minority
	message   steer.Message         // reused for sending
	scratch   []byte                // reused for answers
	encoded   []byte                // reused for sizes
}

func (s *shard) init(n *Node) {
	s.node = n
	s.flows = flowtable.New[record]()
	s.registers = make(map[uint64]*register)
	s.settled = make(map[fleet.ID][]uint64)
}

// arrival is one packet of a client on its way through a shard.
type arrival struct {
	now     clock.Millis
	view    *view
	packet  *packet.Packet
	key     flow.Key
	hash    uint64
	route   *table.Route
	holders fleet.Holders
	hops    uint8
	sink    Sink
	budget  Budget // in place of the Node's, where it is set
}

func (s *shard) self() fleet.ID { return s.node.options.Self }

// owner returns the holder that serves the flow: the first that is believed alive and,
// for flows that may not be repeated, may vote. It returns 0 where there is none.
func (s *shard) owner(a *arrival) fleet.ID {
	for i := range a.holders.Len() {
		id := a.holders.At(i)
		if !a.view.alive(id, s.self()) {
			continue
		}
		if !a.route.Repeatable() && s.isQuarantined(a, id) {
			continue
		}
		return id
	}
	return 0
}

func (s *shard) isQuarantined(a *arrival, id fleet.ID) bool {
	if s.node.options.Breakage == BreakQuarantine {
		return false
	}
	if id == s.self() {
		return a.now < s.node.options.Started+s.node.options.OpeningLifetime
	}
	return a.view.peers.find(id).Quarantined
}

// Sizes of the headers around a message without a packet, in bytes: IP, UDP, Geneve and
// the tag.
const datagramOverhead = 80

// send fills in the sender of a message and passes it on with decided flows that the
// receiver waits to hear of. A message without a packet is control traffic: it reports
// false and sends nothing when the budget does not allow it.
func (s *shard) send(a *arrival, to fleet.ID, m *steer.Message, inner []byte) bool {
	s.stamp(a.view, m)
	m.Hops = a.hops + 1
	waiting := s.settled[to]
	count := copy(m.Settled[:], waiting)
	m.SettledLength = uint8(count)
	if len(inner) == 0 && !s.isAffordable(a, m) {
		return false
	}
	if count > 0 {
		s.settled[to] = append(waiting[:0], waiting[count:]...)
	}
	a.sink.Peer(to, m, inner)
	return true
}

func (s *shard) isAffordable(a *arrival, m *steer.Message) bool {
	budget := a.budget
	if budget == nil {
		budget = s.node.options.Budget
	}
	if budget == nil {
		return true
	}
	s.encoded = m.Append(s.encoded[:0])
	return budget(a.now, m.Kind, len(s.encoded)+datagramOverhead)
}

func (s *shard) stamp(v *view, m *steer.Message) {
	m.From = s.self()
	m.Incarnation = s.node.options.Incarnation
	m.List = v.list().Version()
}

// steerTo passes the packet to another entry VM.
func (s *shard) steerTo(a *arrival, to fleet.ID) result.Code {
	if a.hops >= maxHops {
		return result.DroppedHops
	}
	s.message = steer.Message{Kind: steer.Steer}
	s.send(a, to, &s.message, a.packet.Bytes())
	return result.Steered
}

// isFull reports whether a new flow would push the shard over its share of the table.
// Opening flows get half of it, so that a flood of first packets leaves room for flows
// that other entry VMs hand over.
func (s *shard) isFull() bool {
	limit := s.node.options.Flows / len(s.node.shards)
	return s.flows.Len() >= limit || s.openings >= limit/2
}
