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

// Parameters of client connections.
const (
	dialTimeout     = 8 * time.Second
	keepAlivePeriod = 2 * time.Second
	maxIdleTimeout  = 8 * time.Second
	noError         = 0 // HTTP/3 error code of a regular close
)

// errRefused is returned when an entry VM refused the flow, which therefore was not run.
var errRefused = errors.New("an entry VM refused the flow")

// refusals cancels the clients whose flows entry VMs refused, as reported by the fabric.
type refusals struct {
	mu      sync.Mutex
	cancels map[netip.AddrPort]context.CancelCauseFunc
}

func newRefusals() *refusals {
	return &refusals{cancels: make(map[netip.AddrPort]context.CancelCauseFunc)}
}

// register sets the function that cancels a client.
func (r *refusals) register(client netip.AddrPort, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[client] = cancel
}

func (r *refusals) unregister(client netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, client)
}

// notify cancels a client with errRefused.
func (r *refusals) notify(client netip.AddrPort) {
	r.mu.Lock()
	cancel, ok := r.cancels[client]
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

// client is an HTTP/3 connection on its own UDP socket.
type client struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	address   netip.AddrPort
	refusals  *refusals
	socket    net.PacketConn
	transport *quic.Transport
	http      *http3.ClientConn
}

// dial connects from a free port of an address to a routed destination. It returns errRefused
// if an entry VM refused the flow.
func (d *dialer) dial(parent context.Context, from string, to netip.AddrPort) (*client, error) {
	socket, err := (&net.ListenConfig{}).ListenPacket(parent, "udp4", from+":0")
	if err != nil {
		return nil, err
	}
	c := &client{socket: socket, refusals: d.refusals, transport: &quic.Transport{Conn: socket}}
	ctx, cancel := context.WithCancelCause(parent)
	c.ctx, c.cancel = ctx, cancel
	c.address = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	d.refusals.register(c.address, c.cancel)
	if err = c.connect(ctx, d.certificates.Client(), to); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) connect(parent context.Context, tlsConfig *tls.Config, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(parent, dialTimeout)
	defer cancel()
	quicConfig := &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       maxIdleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
	}
	conn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(to), tlsConfig, quicConfig)
	if err != nil {
		return c.translateError(err)
	}
	c.http = (&http3.Transport{}).NewClientConn(conn)
	return nil
}

// translateError returns errRefused for an error that a refusal caused, and any other error
// unchanged.
func (c *client) translateError(err error) error {
	if cause := context.Cause(c.ctx); errors.Is(cause, errRefused) {
		return errRefused
	}
	return err
}

// cause returns the reason why the client was canceled, or nil.
func (c *client) cause() error { return context.Cause(c.ctx) }

// do sends a request. It returns errRefused if an entry VM refused the flow.
func (c *client) do(request *http.Request) (*http.Response, error) {
	response, err := c.http.RoundTrip(request.WithContext(c.ctx))
	if err != nil {
		return nil, c.translateError(err)
	}
	return response, nil
}

func (c *client) close() {
	c.refusals.unregister(c.address)
	if c.http != nil {
		_ = c.http.CloseWithError(noError, "")
	}
	c.cancel(nil)
	_ = c.transport.Close()
	_ = c.socket.Close()
}
