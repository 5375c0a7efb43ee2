package entry

import (
	"net"

	"golang.org/x/net/ipv4"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/steer"
)

// outbox collects the datagrams of one goroutine and writes them in batches. It is the
// core.Sink of that goroutine, so it is called with a shard locked and only copies.
type outbox struct {
	daemon   *Daemon
	conn     *ipv4.PacketConn
	encoder  *geneve.Encoder
	messages []ipv4.Message
	buffers  [][]byte
	count    int
}

func newOutbox(d *Daemon) *outbox {
	o := &outbox{
		daemon:   d,
		conn:     ipv4.NewPacketConn(d.data),
		encoder:  geneve.NewEncoder(d.config.Network, d.config.Keys),
		messages: make([]ipv4.Message, batchSize),
		buffers:  make([][]byte, batchSize),
	}
	for i := range o.buffers {
		o.buffers[i] = make([]byte, 0, typicalDatagram)
		o.messages[i].Buffers = make([][]byte, 1)
	}
	return o
}

// Fabric sends an inner packet to the fabric.
func (o *outbox) Fabric(inner []byte) {
	b := o.encoder.AppendFabric(o.next(), inner)
	o.add(b, o.daemon.fabric)
}

// Peer sends a message, with an inner packet or without, to another entry VM.
func (o *outbox) Peer(to fleet.ID, m *steer.Message, inner []byte) {
	address := o.daemon.addressOf(to)
	if address == nil {
		o.daemon.counters.datagramsLost.Add(1)
		return
	}
	b := o.encoder.AppendPeer(o.next(), to, m, inner)
	if len(inner) == 0 {
		o.daemon.counters.repairBytes.Add(uint64(len(b)))
	}
	o.add(b, address)
}

// next returns an empty buffer, for which it makes room when the batch is full.
func (o *outbox) next() []byte {
	if o.count == batchSize {
		o.flush()
	}
	return o.buffers[o.count][:0]
}

func (o *outbox) add(b []byte, to *net.UDPAddr) {
	o.buffers[o.count] = b
	o.messages[o.count].Buffers[0] = b
	o.messages[o.count].Addr = to
	o.count++
}

// flush writes what was collected. Datagrams that the kernel does not take are lost, as
// they would be on the way.
func (o *outbox) flush() {
	pending := o.messages[:o.count]
	o.count = 0
	for len(pending) > 0 {
		n, err := o.conn.WriteBatch(pending, 0)
		if err != nil {
			n = max(n, 0)
			o.daemon.counters.datagramsLost.Add(1)
			pending = pending[min(n+1, len(pending)):]
		} else {
			pending = pending[n:]
		}
		o.daemon.counters.datagramsWritten.Add(uint64(n))
	}
}
