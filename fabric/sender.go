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

// Sender encapsulates packets and sends them in batches. It implements core.Sink. It is not
// safe for concurrent use. Datagrams are sent when the batch is full or Flush is called.
type Sender struct {
	gateway         *Gateway
	conn            Conn
	encoder         *geneve.Encoder
	out             *Batch
	maxDatagramSize int
	packet          packet.Packet
	reply           []byte
}

// NewSender returns a Sender that sends over a Conn.
func (g *Gateway) NewSender(conn Conn) *Sender {
	return &Sender{
		gateway:         g,
		conn:            conn,
		encoder:         geneve.NewEncoder(g.vni, g.keys),
		out:             NewBatch(sendFactor*g.batchSize, g.maxDatagramSize()),
		maxDatagramSize: g.maxDatagramSize(),
	}
}

// SendToFabric sends an inner packet to the fabric, which delivers it to its destination.
func (s *Sender) SendToFabric(inner []byte) {
	s.add(s.encoder.AppendFabric(s.next(), inner), s.gateway.fabric)
}

// SendToPeer sends a message to another entry VM, together with the inner packet if it is not
// empty. It drops a message to a VM that is not in the member list. If message and packet do
// not fit into the MTU together, the source of the packet receives an ICMP error instead.
func (s *Sender) SendToPeer(to fleet.ID, m *steer.Message, inner []byte) {
	address, ok := s.gateway.peerAddress(to)
	if !ok {
		s.gateway.countResult(result.DroppedUnknownPeer)
		return
	}
	datagram := s.encoder.AppendPeer(s.next(), to, m, inner)
	if s.add(datagram, address) {
		return
	}
	s.sendTooBig(inner, s.maxDatagramSize-(len(datagram)-len(inner)))
}

// Flush sends the datagrams of the batch.
func (s *Sender) Flush() {
	if s.out.Len() == 0 {
		return
	}
	failed, err := s.conn.Write(s.out)
	s.out.Reset()
	code := result.DroppedNotSent
	if errors.Is(err, syscall.EMSGSIZE) {
		code = result.DroppedOversize
	}
	for range failed {
		s.gateway.countResult(code)
	}
}

// next returns an empty buffer for the next datagram. It flushes a full batch.
func (s *Sender) next() []byte {
	if s.out.IsFull() {
		s.Flush()
	}
	return s.out.Next()
}

// add adds a datagram to the batch. If the datagram is too long, add counts it as dropped
// and returns false.
func (s *Sender) add(datagram []byte, to netip.AddrPort) bool {
	ok := s.out.Add(datagram, to)
	if !ok {
		s.gateway.countResult(result.DroppedOversize)
	}
	return ok
}

// sendTooBig sends the source of an inner packet an ICMP error with the MTU in bytes for its
// packets.
func (s *Sender) sendTooBig(inner []byte, mtu int) {
	if s.packet.Parse(inner) != nil {
		return
	}
	s.reply = packet.AppendTooBig(s.reply[:0], &s.packet, mtu)
	if len(s.reply) > 0 {
		s.SendToFabric(s.reply)
	}
}
