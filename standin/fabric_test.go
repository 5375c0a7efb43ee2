package standin

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// receiveTimeout fails a test whose datagram does not arrive.
const receiveTimeout = 10 * time.Second

// listenTest opens a UDP socket that is closed when the test ends.
func listenTest(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := listenUDP(context.Background(), "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(socket.SetReadDeadline(time.Now().Add(receiveTimeout)))
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func receive(t *testing.T, socket *net.UDPConn) (payload []byte, from netip.AddrPort) {
	t.Helper()
	buffer := make([]byte, maxDatagramBytes)
	n, from, err := socket.ReadFromUDPAddrPort(buffer)
	is.New(t).NoErr(err)
	return buffer[:n], from
}

// TestFabricForwardsAndCountsMisrouted guards against packets that reach the wrong endpoint or
// from the wrong address, and against misrouted packets that are not counted.
func TestFabricForwardsAndCountsMisrouted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	vm, target, client := listenTest(t), listenTest(t), listenTest(t)
	f, err := StartFabric(ctx, "127.0.0.1:0", slog.New(slog.DiscardHandler), WithFabricSeed(1),
		WithDeliveryCheck(func(d Delivery) bool { return d.Target == localAddress(target) }))
	is.NoErr(err)
	defer f.Close()
	f.SetVMs([]netip.AddrPort{localAddress(vm)})
	destination, err := f.Route(ctx, "127.0.0.1:0")
	is.NoErr(err)

	// A client's datagram reaches the VM with the client's own address.
	_, err = client.WriteToUDPAddrPort([]byte("hold"), destination)
	is.NoErr(err)
	datagram, _ := receive(t, vm)
	inner, err := decodeDatagram(datagram)
	is.NoErr(err)
	is.Equal(inner.source, localAddress(client))
	is.Equal(inner.destination, destination)

	// The packet that the VM forwards reaches the target, whose reply reaches the VM.
	_, err = vm.WriteToUDPAddrPort(appendDatagram(nil, inner.source, localAddress(target), inner.payload), f.Address())
	is.NoErr(err)
	payload, clientSocket := receive(t, target)
	is.Equal(string(payload), "hold")
	_, err = target.WriteToUDPAddrPort([]byte("held"), clientSocket)
	is.NoErr(err)
	datagram, _ = receive(t, vm)
	reply, err := decodeDatagram(datagram)
	is.NoErr(err)
	is.Equal(reply.source, localAddress(target))
	is.Equal(reply.destination, localAddress(client))

	// The translated reply reaches the client from the destination.
	_, err = vm.WriteToUDPAddrPort(appendDatagram(nil, destination, reply.destination, reply.payload), f.Address())
	is.NoErr(err)
	payload, from := receive(t, client)
	is.Equal(string(payload), "held")
	is.Equal(from, destination)
	is.Equal(f.Misrouted(), int64(0))

	// A packet to a target of another service is delivered and counted as misrouted.
	other := listenTest(t)
	_, err = vm.WriteToUDPAddrPort(appendDatagram(nil, inner.source, localAddress(other), inner.payload), f.Address())
	is.NoErr(err)
	_, _ = receive(t, other)
	is.Equal(f.Misrouted(), int64(1))
}

// TestExecutionLogCountsRepeatedRuns guards against a repeated hold that is missed or counted
// twice.
func TestExecutionLogCountsRepeatedRuns(t *testing.T) {
	is := is.New(t)
	l := NewExecutionLog()
	l.Run("a")
	l.Run("b")
	l.Run("b")
	run, repeated := l.Count()
	is.Equal(run, 2)
	is.Equal(repeated, 1)
	is.Equal(l.Runs("b"), 2)
	is.Equal(l.Runs("c"), 0)
}
