package entry

import (
	"net/netip"

	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// sink is the core.Sink of one goroutine. It counts messages that carry no packet as
// control traffic.
type sink struct {
	*fabric.Sender
	daemon  *Daemon
	scratch []byte
}

// Peer sends a message, with an inner packet or without, to another entry VM.
func (s *sink) Peer(to fleet.ID, m *steer.Message, inner []byte) {
	if len(inner) == 0 {
		s.scratch = m.Append(s.scratch[:0])
		s.daemon.counters.controlBytes.Add(uint64(len(s.scratch) + messageOverhead))
	}
	s.Sender.Peer(to, m, inner)
}

// messageOverhead is what IP, UDP and Geneve headers and the tag add to a message, in
// bytes.
const messageOverhead = 20 + 8 + 8 + 4 + 4 + 16

// worker is the fabric.Handler of one goroutine.
type worker struct {
	daemon *Daemon
	sink   sink
}

// Handle lets the core decide on a packet from the fabric or from another entry VM.
func (w *worker) Handle(_ netip.AddrPort, m *steer.Message, inner []byte, sender *fabric.Sender) result.Code {
	w.sink.Sender = sender
	now := w.daemon.clock.Now()
	if m != nil {
		return w.daemon.node.FromPeer(now, m, inner, &w.sink)
	}
	return w.daemon.node.FromFabric(now, inner, &w.sink)
}

// serve handles datagrams until the socket is closed.
func (d *Daemon) serve(conn fabric.Conn) {
	w := &worker{daemon: d, sink: sink{daemon: d}}
	if err := d.gateway.Worker(conn).Run(w); err != nil {
		d.log.Error("data socket failed", "error", err)
	}
}

// newSink returns the sink of a goroutine other than a worker.
func (d *Daemon) newSink() *sink {
	return &sink{Sender: d.gateway.Sender(d.data[0]), daemon: d}
}
