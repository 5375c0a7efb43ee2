package demo

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/almondflow/almondflow/standin"
)

// Spans of the connections of clients.
const (
	dialTimeout     = 8 * time.Second
	keepAlivePeriod = 2 * time.Second
	clientMaxIdle   = 8 * time.Second
	noError         = 0
)

// errRefused says that an entry VM answered that the flow was not run.
var errRefused = errors.New("refused as not run")

// refusals passes answers of the fabric on to the clients that they are for.
type refusals struct {
	mu      sync.Mutex
	waiting map[netip.AddrPort]context.CancelCauseFunc
}

func newRefusals() *refusals {
	return &refusals{waiting: make(map[netip.AddrPort]context.CancelCauseFunc)}
}

func (r *refusals) watch(client netip.AddrPort, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[client] = cancel
}

func (r *refusals) forget(client netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, client)
}

func (r *refusals) refuse(client netip.AddrPort) {
	r.mu.Lock()
	cancel, ok := r.waiting[client]
	r.mu.Unlock()
	if ok {
		cancel(errRefused)
	}
}

// dialer opens HTTP/3 connections through the fabric.
type dialer struct {
	certificates *standin.Certificates
	refusals     *refusals
}

// client is one HTTP/3 connection on a UDP socket of its own.
type client struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	address   netip.AddrPort
	refusals  *refusals
	socket    net.PacketConn
	transport *quic.Transport
	http      *http3.ClientConn
}

// dial connects from a free port of the address to a routed destination. The error is
// errRefused when an entry VM refused the flow.
func (d *dialer) dial(parent context.Context, from string, to netip.AddrPort) (*client, error) {
	socket, err := (&net.ListenConfig{}).ListenPacket(parent, "udp4", from+":0")
	if err != nil {
		return nil, err
	}
	c := &client{socket: socket, refusals: d.refusals, transport: &quic.Transport{Conn: socket}}
	ctx, cancel := context.WithCancelCause(parent)
	c.ctx, c.cancel = ctx, cancel
	c.address = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	d.refusals.watch(c.address, c.cancel)
	if err = c.connect(ctx, d.certificates.Client(), to); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) connect(parent context.Context, tlsSettings *tls.Config, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(parent, dialTimeout)
	defer cancel()
	settings := &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       clientMaxIdle,
		KeepAlivePeriod:      keepAlivePeriod,
	}
	conn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(to), tlsSettings, settings)
	if err != nil {
		return c.explain(err)
	}
	c.http = (&http3.Transport{}).NewClientConn(conn)
	return nil
}

// explain returns errRefused in place of the error that a refusal brought about.
func (c *client) explain(err error) error {
	if cause := context.Cause(c.ctx); errors.Is(cause, errRefused) {
		return errRefused
	}
	return err
}

// cause returns why the client's work was ended, or nil.
func (c *client) cause() error { return context.Cause(c.ctx) }

// do sends a request. The error is errRefused when an entry VM refused the flow.
func (c *client) do(request *http.Request) (*http.Response, error) {
	response, err := c.http.RoundTrip(request.WithContext(c.ctx))
	if err != nil {
		return nil, c.explain(err)
	}
	return response, nil
}

func (c *client) close() {
	c.refusals.forget(c.address)
	if c.http != nil {
		_ = c.http.CloseWithError(noError, "")
	}
	c.cancel(nil)
	_ = c.transport.Close()
	_ = c.socket.Close()
}
