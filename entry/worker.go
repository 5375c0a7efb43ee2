package entry

import (
	"errors"
	"net"

	"golang.org/x/net/ipv4"

	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/result"
)

const (
	// batchSize is the number of datagrams that one system call reads or writes.
	batchSize = 32
	// typicalDatagram is the room in bytes that a buffer for writing begins with.
	typicalDatagram = 2048
	// readBuffer is the room in bytes for one datagram. A datagram that fills it is
	// larger than any MTU and dropped.
	readBuffer = 16 << 10
)

// worker reads batches of datagrams, lets the core decide on each and writes what the
// core sent. All workers read the same socket.
type worker struct {
	daemon   *Daemon
	conn     *ipv4.PacketConn
	messages []ipv4.Message
	out      *outbox
	decoder  *geneve.Decoder
}

func newWorker(d *Daemon) *worker {
	w := &worker{
		daemon:   d,
		conn:     ipv4.NewPacketConn(d.data),
		messages: make([]ipv4.Message, batchSize),
		out:      newOutbox(d),
		decoder:  geneve.NewDecoder(d.self, d.config.Network, d.config.Keys),
	}
	for i := range w.messages {
		w.messages[i].Buffers = [][]byte{make([]byte, readBuffer)}
	}
	return w
}

// run returns when the socket is closed.
func (w *worker) run() {
	for {
		n, err := w.conn.ReadBatch(w.messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w.daemon.counters.datagramsRead.Add(uint64(n))
		for i := range w.messages[:n] {
			m := &w.messages[i]
			w.handle(m.Buffers[0][:m.N])
		}
		w.out.flush()
	}
}

func (w *worker) handle(b []byte) {
	d := w.daemon
	if len(b) == readBuffer {
		d.count(result.DroppedOversize)
		return
	}
	datagram, err := w.decoder.Decode(b)
	if err != nil {
		d.count(decodeCode(err))
		return
	}
	now := d.clock.Now()
	if m := datagram.Message(); m != nil {
		d.node.FromPeer(now, m, datagram.Inner(), w.out)
		return
	}
	d.node.FromFabric(now, datagram.Inner(), w.out)
}

func decodeCode(err error) result.Code {
	var reason *geneve.Error
	if errors.As(err, &reason) {
		return reason.Code()
	}
	return result.DroppedMalformed
}
