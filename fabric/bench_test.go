package fabric_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

// window is the number of datagrams in flight. It is small enough for the buffers of the
// sockets.
const window = 64

// forwardUDP forwards datagrams to a fixed address one by one, with the standard library.
func forwardUDP(socket *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, 9000)
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

// forwardBatches forwards batches of datagrams to a fixed address without decoding them.
func forwardBatches(conn fabric.Conn, to netip.AddrPort) {
	in, out := fabric.NewBatch(window, 9000), fabric.NewBatch(window, 9000)
	for conn.Read(in) == nil {
		out.Reset()
		for i := range in.Len() {
			out.Add(append(out.Next(), in.Datagram(i)...), to)
		}
		_, _ = conn.Write(out)
	}
}

// forwardThrough sends at least count datagrams through a forwarder, receives them again and
// returns the time that this took.
func forwardThrough(b *testing.B, driver fabric.Conn, forwarder netip.AddrPort, datagram []byte, count int) time.Duration {
	b.Helper()
	out, in := fabric.NewBatch(window, 9000), fabric.NewBatch(window, 9000)
	start := time.Now()
	for sent := 0; sent < count; sent += window {
		out.Reset()
		for range window {
			out.Add(append(out.Next(), datagram...), forwarder)
		}
		if _, err := driver.Write(out); err != nil {
			b.Fatal(err)
		}
		for received := 0; received < window; received += in.Len() {
			if err := driver.Read(in); err != nil {
				b.Fatal(err)
			}
		}
	}
	return time.Since(start)
}

// BenchmarkForward sends packets over loopback through a Worker, and in the same run through
// two forwarders that do not decode Geneve. It reports the ratios of the packets per second.
func BenchmarkForward(b *testing.B) {
	keys := newKeys(b)
	self := fleet.NewID("a")
	forward := fabric.HandlerFunc(func(_ netip.AddrPort, _ *steer.Message, inner []byte, s *fabric.Sender) result.Code {
		s.SendToFabric(inner)
		return result.Forwarded
	})
	packet := inner(1, 1200)
	encoder := geneve.NewEncoder(0, keys)
	cases := []struct {
		name     string
		datagram []byte
	}{
		{"fabric", encoder.AppendFabric(nil, packet)},
		{"peer", encoder.AppendPeer(nil, self, &steer.Message{Kind: steer.Steer}, packet)},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			driver := listen(b, "127.0.0.1:0", 1)[0]
			conn, batched := listen(b, "127.0.0.1:0", 1)[0], listen(b, "127.0.0.1:0", 1)[0]
			bare, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = bare.Close() }()
			go func() { _ = fabric.NewGateway(self, driver.Address(), keys).NewWorker(conn).Run(forward) }()
			go forwardUDP(bare, driver.Address())
			go forwardBatches(batched, driver.Address())

			b.ReportAllocs()
			b.ResetTimer()
			workerTime := forwardThrough(b, driver, conn.Address(), c.datagram, b.N)
			b.StopTimer()
			bareTime := forwardThrough(b, driver, bare.LocalAddr().(*net.UDPAddr).AddrPort(), c.datagram, b.N)
			batchTime := forwardThrough(b, driver, batched.Address(), c.datagram, b.N)
			b.ReportMetric(float64(b.N)/workerTime.Seconds(), "packets/s")
			b.ReportMetric(bareTime.Seconds()/workerTime.Seconds(), "of-bare")
			b.ReportMetric(batchTime.Seconds()/workerTime.Seconds(), "of-batched")
		})
	}
}
