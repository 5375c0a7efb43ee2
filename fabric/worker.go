package fabric

import (
	"errors"
	"net"
	"net/netip"

	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// Handler handles received packets.
type Handler interface {
	// Handle handles an inner packet. If m is nil, the packet comes from the fabric.
	// Otherwise it comes from another entry VM with the authenticated message m, and inner
	// may be empty. The arguments are valid until Handle returns. The returned result is
	// counted.
	Handle(source netip.AddrPort, m *steer.Message, inner []byte, sender *Sender) result.Code
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(source netip.AddrPort, m *steer.Message, inner []byte, sender *Sender) result.Code

// Handle calls f.
func (f HandlerFunc) Handle(source netip.AddrPort, m *steer.Message, inner []byte, sender *Sender) result.Code {
	return f(source, m, inner, sender)
}

// Worker reads datagrams, passes their packets to a Handler and sends the datagrams that the
// Handler adds to its Sender.
type Worker struct {
	gateway *Gateway
	conn    Conn
	decoder *geneve.Decoder
	in      *Batch
	sender  *Sender
}

// NewWorker returns a Worker that reads from a Conn and sends over it.
func (g *Gateway) NewWorker(conn Conn) *Worker {
	return &Worker{
		gateway: g,
		conn:    conn,
		decoder: geneve.NewDecoder(g.self, g.vni, g.keys),
		in:      NewBatch(g.batchSize, g.maxDatagramSize()),
		sender:  g.NewSender(conn),
	}
}

// Run handles datagrams until the Conn is closed, and then returns nil. It returns any other
// error of the Conn.
func (w *Worker) Run(h Handler) error {
	for {
		err := w.conn.Read(w.in)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range w.in.Len() {
			w.gateway.countResult(w.handle(h, i))
		}
		w.sender.Flush()
	}
}

// handle decodes datagram i of the batch and passes it to h. It returns the result of the
// packet.
func (w *Worker) handle(h Handler, i int) result.Code {
	if w.in.IsTruncated(i) {
		return result.DroppedOversize
	}
	d, err := w.decoder.Decode(w.in.Datagram(i))
	if err != nil {
		return codeOf(err)
	}
	return h.Handle(w.in.Address(i), d.Message(), d.Inner(), w.sender)
}

// codeOf returns the code of a *geneve.Error, or result.Internal for any other error.
func codeOf(err error) result.Code {
	var failure *geneve.Error
	if errors.As(err, &failure) {
		return failure.Code()
	}
	return result.Internal
}
