package front

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// A port that is free for TCP may be in use for UDP by another process. This happened in CI while
// other tests ran: bind UDP 127.0.0.1:36963: address already in use.
func TestListenTCPAndUDPRetriesPorts(t *testing.T) {
	tests := []struct {
		name     string
		failures int // attempts that find the port in use
		address  string
		isBound  bool
	}{
		{"free", 0, "127.0.0.1:0", true},
		{"in use twice", 2, "127.0.0.1:0", true},
		{"always in use", maxPortAttempts, "127.0.0.1:0", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			attempts := 0
			listener, conn, err := listenTCPAndUDP(netip.MustParseAddrPort(tt.address), func(address netip.AddrPort) (*net.UDPConn, error) {
				attempts++
				if attempts <= tt.failures {
					return nil, syscall.EADDRINUSE
				}
				return listenUDP(address)
			})
			is.Equal(err == nil, tt.isBound)
			if !tt.isBound {
				is.Equal(attempts, maxPortAttempts)
				return
			}
			is.Equal(listener.Addr().String(), conn.LocalAddr().String())
			is.NoErr(listener.Close())
			is.NoErr(conn.Close())
		})
	}
}

// A given port is not replaced by another one if it is in use.
func TestListenTCPAndUDPKeepsGivenPort(t *testing.T) {
	is := is.New(t)
	listener, conn, err := listenTCPAndUDP(netip.MustParseAddrPort("127.0.0.1:0"), listenUDP)
	is.NoErr(err)
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	is.NoErr(listener.Close())
	attempts := 0
	_, _, err = listenTCPAndUDP(address, func(address netip.AddrPort) (*net.UDPConn, error) {
		attempts++
		return listenUDP(address)
	})
	is.True(err != nil)
	is.Equal(attempts, 1)
	is.NoErr(conn.Close())
}
