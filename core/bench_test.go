package core_test

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/steer"
)

const (
	benchFlows   = 300_000
	benchPayload = 1200 // bytes
)

// discardSink is a core.Sink that counts packets and messages and discards them.
type discardSink struct{ sent int }

func (d *discardSink) SendToFabric([]byte)                         { d.sent++ }
func (d *discardSink) SendToPeer(fleet.ID, *steer.Message, []byte) { d.sent++ }

// benchKey returns the n-th flow to the TCP or the UDP service of testTables.
func benchKey(n int, protocol flow.Protocol) flow.Key {
	destination := "203.0.113.10:443"
	if protocol == flow.UDP {
		destination = "203.0.113.11:443"
	}
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, byte(n >> 24), byte(n >> 16), byte(n >> 8)}), uint16(1024+n&255))
	return flow.NewKey(protocol, flow.NewEndpoint(client), endpoint(destination))
}

// benchNode returns a Node that either owns every flow or owns none.
func benchNode(b testing.TB, owner bool) *core.Node {
	b.Helper()
	tables, err := newTables(1, "serving")
	if err != nil {
		b.Fatal(err)
	}
	placer := placement.New()
	placer.SetTables(0, tables)
	names := []string{"a1"}
	if !owner {
		names = eightVMs[1:]
	}
	node := core.New(core.Options{Self: fleet.NewID("a1"), Incarnation: 1, Seed: 5, Placer: placer, OpeningLifetime: testLifetime, MaxTickGap: clock.Hour})
	node.SetTables(0, tables)
	node.SetRanking(0, newRanking(1, names...))
	node.SetVotingLease(0, core.VotingLease{ListVersion: 1, SettledVersion: 1, ExpiresAt: clock.Hour})
	return node
}

// openFlows passes the first packets of count flows to a Node.
func openFlows(node *core.Node, protocol flow.Protocol, count int, sink core.Sink) {
	var buffer []byte
	for n := range count {
		key := benchKey(n, protocol)
		if protocol == flow.UDP {
			buffer = packet.AppendUDP(buffer[:0], key, []byte("hold"))
		} else {
			buffer = packet.AppendTCP(buffer[:0], key, packet.Segment{Flags: packet.SYN})
		}
		node.ReceiveFromFabric(10*clock.Minute, buffer, sink)
	}
}

func TestKnownFlowPacketDoesNotAllocate(t *testing.T) {
	for _, owner := range []bool{true, false} {
		node, sink := benchNode(t, owner), &discardSink{}
		openFlows(node, flow.TCP, 1, sink)
		data := packet.AppendTCP(nil, benchKey(0, flow.TCP), packet.Segment{Flags: packet.ACK, Payload: make([]byte, 8)})
		inner := make([]byte, len(data))
		allocations := testing.AllocsPerRun(1000, func() {
			copy(inner, data)
			node.ReceiveFromFabric(10*clock.Minute, inner, sink)
		})
		is.New(t).Equal(allocations, 0.0)
	}
}

// loopbackRate returns the packets per second that one goroutine writes to and reads from
// a UDP socket over loopback. It is the reference for a forwarder that makes no decisions.
func loopbackRate(b *testing.B, datagram []byte, count int) float64 {
	b.Helper()
	local := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))
	in, err := net.ListenUDP("udp4", local)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	to := in.LocalAddr().(*net.UDPAddr).AddrPort()
	buffer := make([]byte, 2*len(datagram))
	start := time.Now()
	for range count {
		if _, err = in.WriteToUDPAddrPort(datagram, to); err != nil {
			b.Fatal(err)
		}
		if _, _, err = in.ReadFromUDPAddrPort(buffer); err != nil {
			b.Fatal(err)
		}
	}
	return float64(count) / time.Since(start).Seconds()
}

// BenchmarkDecide measures the forwarding decision for packets of 300,000 known flows,
// without sockets. The metric of-bare relates it to loopbackRate, measured in the same
// run.
func BenchmarkDecide(b *testing.B) {
	cases := []struct {
		name  string
		owner bool
	}{
		{"owner", true},
		{"ingress", false},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			node, sink := benchNode(b, c.owner), &discardSink{}
			openFlows(node, flow.TCP, benchFlows, sink)
			packets := make([][]byte, benchFlows)
			for n := range packets {
				packets[n] = packet.AppendTCP(nil, benchKey(n, flow.TCP), packet.Segment{Flags: packet.ACK, Payload: make([]byte, 8)})
			}
			inner := make([]byte, 0, benchPayload)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				inner = append(inner[:0], packets[n%benchFlows]...)
				node.ReceiveFromFabric(10*clock.Minute, inner, sink)
				n += 7919
			}
			rate := float64(b.N) / b.Elapsed().Seconds()
			b.ReportMetric(rate, "packets/s")
			b.ReportMetric(rate/loopbackRate(b, make([]byte, benchPayload), 20_000), "of-bare")
		})
	}
}

// BenchmarkOpen measures the first packets of flows at an owner that knows several member
// lists. For each flow, the owner checks for every list whether another VM ranked first.
func BenchmarkOpen(b *testing.B) {
	for _, lists := range []int{1, 13, 33} {
		b.Run(fmt.Sprintf("lists=%d", lists), func(b *testing.B) {
			const count = 100_000
			for b.Loop() {
				b.StopTimer()
				node, sink := benchNode(b, true), &discardSink{}
				for version := 2; version <= lists; version++ {
					node.SetRanking(10*clock.Minute, newRanking(uint64(version), "a1"))
				}
				b.StartTimer()
				openFlows(node, flow.TCP, count, sink)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/count, "ns/flow")
		})
	}
}

// BenchmarkMemory measures a Node's heap per flow.
func BenchmarkMemory(b *testing.B) {
	for _, protocol := range []flow.Protocol{flow.TCP, flow.UDP} {
		b.Run(fmt.Sprint(protocol), func(b *testing.B) {
			var before, after runtime.MemStats
			flows := 0
			for b.Loop() {
				node := benchNode(b, true)
				runtime.GC()
				runtime.ReadMemStats(&before)
				openFlows(node, protocol, benchFlows, &discardSink{})
				runtime.GC()
				runtime.ReadMemStats(&after)
				flows = node.FlowCount()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(max(flows, 1)), "B/flow")
			b.ReportMetric(float64(flows), "flows")
		})
	}
}
