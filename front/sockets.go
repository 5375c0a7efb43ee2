package front

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// maxPortAttempts limits the attempts to find a port that is free for both TCP and UDP.
const maxPortAttempts = 8

// sockets holds the sockets that a daemon listens on.
type sockets struct {
	packets   *net.UDPConn // client packets and packets to targets
	messages  *net.UDPConn // messages between entry VMs
	views     net.Listener // HTTP between entry VMs, on the same address as messages
	readiness net.Listener
	operator  net.Listener
}

// bind opens all sockets, or none if one of them fails. For port 0 the operating system chooses
// the port.
func bind(settings *Settings) (*sockets, error) {
	s := &sockets{}
	var err error
	if s.packets, err = listenUDP(settings.PacketAddress); err != nil {
		return nil, err
	}
	if s.views, s.messages, err = listenTCPAndUDP(settings.SiblingAddress, listenUDP); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if s.readiness, err = listenTCP(settings.ReadinessAddress); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if s.operator, err = listenTCP(settings.OperatorAddress); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

// close closes the sockets that are open and returns their errors.
func (s *sockets) close() error {
	var errs []error
	if s.packets != nil {
		errs = append(errs, s.packets.Close())
	}
	if s.messages != nil {
		errs = append(errs, s.messages.Close())
	}
	for _, listener := range []net.Listener{s.views, s.readiness, s.operator} {
		if listener != nil {
			errs = append(errs, listener.Close())
		}
	}
	return errors.Join(errs...)
}

// listenTCPAndUDP listens on the same port for TCP and UDP. For port 0 the operating system chooses
// a port that is free for TCP; if another process uses it for UDP, the next attempt gets another.
func listenTCPAndUDP(address netip.AddrPort, udp func(netip.AddrPort) (*net.UDPConn, error)) (net.Listener, *net.UDPConn, error) {
	for attempts := 1; ; attempts++ {
		listener, err := listenTCP(address)
		if err != nil {
			return nil, nil, err
		}
		conn, err := udp(listener.Addr().(*net.TCPAddr).AddrPort())
		if err == nil {
			return listener, conn, nil
		}
		err = errors.Join(err, listener.Close())
		if address.Port() != 0 || attempts == maxPortAttempts {
			return nil, nil, err
		}
	}
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind UDP %s: %w", address, err)
	}
	return conn, nil
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind TCP %s: %w", address, err)
	}
	return listener, nil
}

// localAddress returns the local address of a UDP socket.
func localAddress(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}
