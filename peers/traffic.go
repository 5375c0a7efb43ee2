package peers

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that are sent and received on the sockets, including TLS records
// and HTTP/2 frames. It is safe for concurrent use.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: l.traffic}, nil
}

// dial opens a TCP connection whose bytes are counted.
func (t *Traffic) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: t}, nil
}
