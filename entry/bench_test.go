package entry_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/almondflow/almondflow/packet"
)

// benchFlows is the number of flows that the packets belong to. payloadSize is the size of
// their payload in bytes, that of a full QUIC packet.
const (
	benchFlows  = 1024
	payloadSize = 1200
)

// forwardUDP forwards each datagram with the standard library, with one read and one write
// call per datagram, until the socket is closed.
func forwardUDP(socket *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, testMTU)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if _, err = socket.WriteToUDPAddrPort(buffer[:n], to); err != nil {
			return
		}
	}
}

// forwardThrough sends at least count datagrams through a forwarder in batches of testBatch,
// receives them again and returns the time that this took.
func forwardThrough(b *testing.B, h *harness, forwarder netip.AddrPort, datagrams [][]byte, count int) time.Duration {
	b.Helper()
	start := time.Now()
	for sent := 0; sent < count; sent += testBatch {
		h.out.Reset()
		for i := range testBatch {
			h.out.Add(append(h.out.Next(), datagrams[(sent+i)%len(datagrams)]...), forwarder)
		}
		if _, err := h.fabric.Write(h.out); err != nil {
			b.Fatal(err)
		}
		for received := 0; received < testBatch; received += h.in.Len() {
			if err := h.fabric.Read(h.in); err != nil {
				b.Fatal(err)
			}
		}
	}
	return time.Since(start)
}

// BenchmarkDaemon sends packets of known flows over loopback through one daemon with one
// worker, and in the same run through a bare UDP forwarder. The metric of-bare is the ratio of
// their packets per second.
func BenchmarkDaemon(b *testing.B) {
	h := newHarness(b)
	datagrams := make([][]byte, benchFlows)
	for i := range datagrams {
		inner := packet.AppendUDP(nil, clientKey(uint16(1024+i)), make([]byte, payloadSize))
		datagrams[i] = h.encoder.AppendFabric(nil, inner)
	}
	bare, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = bare.Close() }()
	go forwardUDP(bare, h.fabric.Address())
	forwardThrough(b, h, h.daemon.DataAddress(), datagrams, benchFlows) // opens the flows

	b.ReportAllocs()
	b.ResetTimer()
	elapsed := forwardThrough(b, h, h.daemon.DataAddress(), datagrams, b.N)
	b.StopTimer()
	bareElapsed := forwardThrough(b, h, bare.LocalAddr().(*net.UDPAddr).AddrPort(), datagrams, b.N)
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "packets/s")
	b.ReportMetric(bareElapsed.Seconds()/elapsed.Seconds(), "of-bare")
}
