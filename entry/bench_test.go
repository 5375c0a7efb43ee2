package entry_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/almondflow/almondflow/packet"
)

// benchFlows is the number of flows that the packets belong to, and payloadSize the
// length of their payload in bytes, that of a full QUIC packet.
const (
	benchFlows  = 1024
	payloadSize = 1200
)

// bareForwarder sends each datagram on with the standard library, one call for each.
func bareForwarder(socket *net.UDPConn, to netip.AddrPort) {
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

// pump sends count datagrams through a forwarder, a window at a time, and returns how
// long it took.
func pump(b *testing.B, r *rig, through netip.AddrPort, datagrams [][]byte, count int) time.Duration {
	b.Helper()
	start := time.Now()
	for sent := 0; sent < count; sent += testBatch {
		r.out.Reset()
		for i := range testBatch {
			r.out.Add(append(r.out.Next(), datagrams[(sent+i)%len(datagrams)]...), through)
		}
		if _, err := r.fabric.Write(r.out); err != nil {
			b.Fatal(err)
		}
		for received := 0; received < testBatch; received += r.in.Len() {
			if err := r.fabric.Read(r.in); err != nil {
				b.Fatal(err)
			}
		}
	}
	return time.Since(start)
}

// BenchmarkDaemon passes packets of known flows over loopback through one daemon with
// one worker, and through a bare UDP forwarder in the same run. The ratio is of packets
// a second.
func BenchmarkDaemon(b *testing.B) {
	r := newRig(b)
	datagrams := make([][]byte, benchFlows)
	for i := range datagrams {
		inner := packet.AppendUDP(nil, clientKey(uint16(1024+i)), make([]byte, payloadSize))
		datagrams[i] = r.encoder.AppendFabric(nil, inner)
	}
	bare, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = bare.Close() }()
	go bareForwarder(bare, r.fabric.Address())
	pump(b, r, r.daemon.DataAddress(), datagrams, benchFlows) // opens the flows

	b.ReportAllocs()
	b.ResetTimer()
	took := pump(b, r, r.daemon.DataAddress(), datagrams, b.N)
	b.StopTimer()
	bareTook := pump(b, r, bare.LocalAddr().(*net.UDPAddr).AddrPort(), datagrams, b.N)
	b.ReportMetric(float64(b.N)/took.Seconds(), "packets/s")
	b.ReportMetric(bareTook.Seconds()/took.Seconds(), "of-bare")
}
