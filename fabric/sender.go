package fabric

import (
	"errors"
	"net/netip"
	"syscall"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// Sender encapsulates packets and sends them in batches. It is the core's Sink and
// belongs to one goroutine. What was given to it leaves at the latest with Flush.
type Sender struct {
	gateway *Gateway
	conn    Conn
	encoder *geneve.Encoder
	out     *Batch
	limit   int
	packet  packet.Packet
	answer  []byte
}

// Sender returns a new Sender over a Conn.
func (g *Gateway) Sender(conn Conn) *Sender {
	return &Sender{
		gateway: g,
		conn:    conn,
		encoder: geneve.NewEncoder(g.vni, g.keys),
		out:     NewBatch(sendFactor*g.batch, g.limit()),
		limit:   g.limit(),
	}
}

// Fabric sends an inner packet to the fabric, which delivers it to its destination.
func (s *Sender) Fabric(inner []byte) {
	s.add(s.encoder.AppendFabric(s.next(), inner), s.gateway.fabric)
}

// Peer sends a message to another entry VM, with the inner packet or without one. A
// packet that does not fit the MTU with the message is answered to its sender.
func (s *Sender) Peer(to fleet.ID, m *steer.Message, inner []byte) {
	address, ok := s.gateway.find(to)
	if !ok {
		s.gateway.count(result.DroppedUnknownPeer)
		return
	}
	datagram := s.encoder.AppendPeer(s.next(), to, m, inner)
	if s.add(datagram, address) {
		return
	}
	s.answerTooBig(inner, s.limit-(len(datagram)-len(inner)))
}

// Flush sends what is waiting.
func (s *Sender) Flush() {
	if s.out.Len() == 0 {
		return
	}
	refused, err := s.conn.Write(s.out)
	s.out.Reset()
	code := result.DroppedNotSent
	if errors.Is(err, syscall.EMSGSIZE) {
		code = result.DroppedOversize
	}
	for range refused {
		s.gateway.count(code)
	}
}

func (s *Sender) next() []byte {
	if s.out.IsFull() {
		s.Flush()
	}
	return s.out.Next()
}

func (s *Sender) add(datagram []byte, to netip.AddrPort) bool {
	ok := s.out.Add(datagram, to)
	if !ok {
		s.gateway.count(result.DroppedOversize)
	}
	return ok
}

// answerTooBig tells the sender of a packet how long its packets may be.
func (s *Sender) answerTooBig(inner []byte, mtu int) {
	if s.packet.Parse(inner) != nil {
		return
	}
	s.answer = packet.AppendTooBig(s.answer[:0], &s.packet, mtu)
	if len(s.answer) > 0 {
		s.Fabric(s.answer)
	}
}
