package entry

import (
	"net/netip"

	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// sink sends the packets and messages of the core. It implements core.Sink for use by one
// goroutine and counts messages without an inner packet as control traffic.
type sink struct {
	*fabric.Sender
	daemon *Daemon
	buffer []byte
}

// SendToPeer sends a message to another entry VM, with an inner packet unless inner is empty.
func (s *sink) SendToPeer(to fleet.ID, m *steer.Message, inner []byte) {
	if len(inner) == 0 {
		s.buffer = m.Append(s.buffer[:0])
		s.daemon.counters.controlBytes.Add(uint64(len(s.buffer) + messageOverhead))
	}
	s.Sender.SendToPeer(to, m, inner)
}

// messageOverhead is the size in bytes of what surrounds a message in a packet: the headers of
// IPv4, UDP, Geneve and one Geneve option, the key id and the tag.
const messageOverhead = 20 + 8 + 8 + 4 + 4 + 16

// worker handles the datagrams of one socket. It implements fabric.Handler.
type worker struct {
	daemon *Daemon
	sink   sink
}

// Handle passes a packet to the core and returns its result. The packet comes from another
// entry VM if m isn't nil, and from the fabric otherwise.
func (w *worker) Handle(_ netip.AddrPort, m *steer.Message, inner []byte, sender *fabric.Sender) result.Code {
	w.sink.Sender = sender
	now := w.daemon.clock.Now()
	if m != nil {
		return w.daemon.node.ReceiveFromPeer(now, m, inner, &w.sink)
	}
	return w.daemon.node.ReceiveFromFabric(now, inner, &w.sink)
}

// serve handles the datagrams of a socket until it is closed.
func (d *Daemon) serve(conn fabric.Conn) {
	w := &worker{daemon: d, sink: sink{daemon: d}}
	if err := d.gateway.NewWorker(conn).Run(w); err != nil {
		d.log.Error("data socket failed", "error", err)
	}
}

// newSink returns a sink for a goroutine that isn't a worker.
func (d *Daemon) newSink() *sink {
	return &sink{Sender: d.gateway.NewSender(d.data[0]), daemon: d}
}
