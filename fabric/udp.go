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

// socketBuffer is the size in bytes that is asked of the kernel for each direction. The
// kernel may grant less.
const socketBuffer = 4 << 20

// UDP is a Conn over a socket of the operating system.
type UDP struct {
	socket *net.UDPConn
	raw    syscall.RawConn
	writer *ipv4.PacketConn
}

// Listen binds sockets to one address, one for each worker. Port 0 takes a free port for
// all of them. The kernel hands all packets of an inner flow to the same socket. An
// address that another process has is an error, which wraps syscall.EADDRINUSE.
func Listen(ctx context.Context, address netip.AddrPort, workers int) ([]*UDP, error) {
	// The first socket is bound without SO_REUSEPORT: with it a second daemon on the same
	// address would go unnoticed and take a share of the packets.
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

// control prepares a socket before it is bound.
type control func(network, address string, raw syscall.RawConn) error

func listen(ctx context.Context, address netip.AddrPort, prepare control) (*UDP, error) {
	config := net.ListenConfig{Control: prepare}
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
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
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

// Write implements Conn. A datagram that the system refuses does not keep back the rest.
func (u *UDP) Write(b *Batch) (int, error) {
	refused := 0
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
			return refused + len(messages), first
		}
		refused++
		messages = messages[1:]
	}
	return refused, first
}

// Address implements Conn.
func (u *UDP) Address() netip.AddrPort {
	return u.socket.LocalAddr().(*net.UDPAddr).AddrPort() //nolint:errcheck // the type of a UDP socket's address
}

// Close implements Conn.
func (u *UDP) Close() error { return u.socket.Close() }
