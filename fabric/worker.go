package fabric

import (
	"errors"
	"net"
	"net/netip"

	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// Handler decides about received packets.
type Handler interface {
	// Handle takes an inner packet from the fabric, when m is nil, or from another entry
	// VM, whose message m is authentic; then inner may be empty. All arguments are valid
	// until it returns. The result is counted.
	Handle(source netip.AddrPort, m *steer.Message, inner []byte, sender *Sender) result.Code
}

// HandlerFunc is a function as a Handler.
type HandlerFunc func(source netip.AddrPort, m *steer.Message, inner []byte, sender *Sender) result.Code

// Handle calls f.
func (f HandlerFunc) Handle(source netip.AddrPort, m *steer.Message, inner []byte, sender *Sender) result.Code {
	return f(source, m, inner, sender)
}

// Worker reads datagrams, hands their packets to a Handler and sends what comes of it.
type Worker struct {
	gateway *Gateway
	conn    Conn
	decoder *geneve.Decoder
	in      *Batch
	sender  *Sender
}

// Worker returns a new Worker over a Conn.
func (g *Gateway) Worker(conn Conn) *Worker {
	return &Worker{
		gateway: g,
		conn:    conn,
		decoder: geneve.NewDecoder(g.self, g.vni, g.keys),
		in:      NewBatch(g.batch, g.limit()),
		sender:  g.Sender(conn),
	}
}

// Run handles datagrams until the Conn is closed. It returns any other error of the Conn.
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
			w.gateway.count(w.handle(h, i))
		}
		w.sender.Flush()
	}
}

func (w *Worker) handle(h Handler, i int) result.Code {
	if w.in.IsCut(i) {
		return result.DroppedOversize
	}
	d, err := w.decoder.Decode(w.in.Datagram(i))
	if err != nil {
		return codeOf(err)
	}
	return h.Handle(w.in.Address(i), d.Message(), d.Inner(), w.sender)
}

func codeOf(err error) result.Code {
	var failure *geneve.Error
	if errors.As(err, &failure) {
		return failure.Code()
	}
	return result.Internal
}
