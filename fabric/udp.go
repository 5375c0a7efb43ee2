package fabric

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// socketBufferSize is the requested size in bytes of the receive and send buffers. The kernel
// may grant less.
const socketBufferSize = 4 << 20

// UDP is a Conn over a UDP socket.
type UDP struct {
	socket *net.UDPConn
	raw    syscall.RawConn
	writer *ipv4.PacketConn
}

// Listen binds one socket per worker to the same address. Port 0 selects a free port, which
// all of them share. On Linux, the kernel delivers all packets of an inner flow to the same
// socket. If the address is in use by another process, the error wraps syscall.EADDRINUSE.
func Listen(ctx context.Context, address netip.AddrPort, workers int) ([]*UDP, error) {
	// The first socket is bound without SO_REUSEPORT. Otherwise a second daemon could bind
	// the same address without an error and would receive a part of the packets.
	first, err := listen(ctx, address, nil)
	if err != nil {
		return nil, err
	}
	conns := []*UDP{first}
	if workers > 1 {
		if err := setReusePort("", "", first.raw); err != nil {
			return nil, errors.Join(err, first.Close())
		}
	}
	for len(conns) < workers {
		u, err := listen(ctx, first.Address(), setReusePort)
		if err != nil {
			return nil, errors.Join(err, closeAll(conns))
		}
		conns = append(conns, u)
	}
	if workers > 1 {
		first.spreadByFlow(workers)
	}
	return conns, nil
}

func closeAll(conns []*UDP) error {
	var failures []error
	for _, u := range conns {
		failures = append(failures, u.Close())
	}
	return errors.Join(failures...)
}

// controlFunc sets options of a socket before it is bound, as net.ListenConfig.Control.
type controlFunc func(network, address string, raw syscall.RawConn) error

// listen binds a socket. A nil control sets no options.
func listen(ctx context.Context, address netip.AddrPort, control controlFunc) (*UDP, error) {
	config := net.ListenConfig{Control: control}
	network := "udp6"
	if address.Addr().Is4() {
		network = "udp4"
	}
	conn, err := config.ListenPacket(ctx, network, address.String())
	if err != nil {
		return nil, err
	}
	socket := conn.(*net.UDPConn) //nolint:errcheck // ListenPacket returns this type for its network
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	_ = socket.SetReadBuffer(socketBufferSize)
	_ = socket.SetWriteBuffer(socketBufferSize)
	return &UDP{socket: socket, raw: raw, writer: ipv4.NewPacketConn(socket)}, nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failure)
}

// Read implements Conn.
func (u *UDP) Read(b *Batch) error {
	b.Reset()
	n, err := b.receiver.read(u.socket, u.raw)
	b.length = n
	return err
}

// Write implements Conn. It continues after a datagram that could not be sent, unless the
// socket is closed.
func (u *UDP) Write(b *Batch) (int, error) {
	failed := 0
	var first error
	messages := b.outgoing()
	for len(messages) > 0 {
		n, err := u.writer.WriteBatch(messages, 0)
		if err == nil && n > 0 {
			messages = messages[n:]
			continue
		}
		if first == nil {
			first = err
		}
		if errors.Is(err, net.ErrClosed) {
			return failed + len(messages), first
		}
		failed++
		messages = messages[1:]
	}
	return failed, first
}

// Address implements Conn.
func (u *UDP) Address() netip.AddrPort {
	return u.socket.LocalAddr().(*net.UDPAddr).AddrPort() //nolint:errcheck // the type of a UDP socket's address
}

// Close implements Conn.
func (u *UDP) Close() error { return u.socket.Close() }
