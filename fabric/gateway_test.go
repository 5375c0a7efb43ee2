package fabric_test

import (
	"bytes"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

var (
	fabricAddress = netip.MustParseAddrPort("192.0.2.1:6081")
	client        = flow.NewEndpoint(netip.MustParseAddrPort("198.51.100.1:40000"))
	routed        = flow.NewEndpoint(netip.MustParseAddrPort("203.0.113.10:443"))
)

// inner returns a UDP packet from a port of the client with a payload of the given size.
func inner(port uint16, size int) []byte {
	key := flow.NewKey(flow.UDP, flow.EndpointFrom16(client.Address16(), port), routed)
	return packet.AppendUDP(nil, key, make([]byte, size))
}

func newKeys(t testing.TB) *geneve.Keys {
	t.Helper()
	key, err := geneve.NewKey(1, bytes.Repeat([]byte{1}, 32))
	if err != nil {
		t.Fatal(err)
	}
	ring, err := geneve.NewKeyRing(key)
	if err != nil {
		t.Fatal(err)
	}
	return geneve.NewKeys(ring)
}

// newList returns a member list with the VMs "a" and "b".
func newList() *fleet.List {
	var vms []fleet.VM
	for name, address := range map[string]string{"a": "192.0.2.10:6081", "b": "192.0.2.11:6081"} {
		vms = append(vms, fleet.NewVM(name, "kadikoy", netip.MustParseAddrPort(address), netip.AddrPort{}, fleet.Serving))
	}
	return fleet.NewList(1, vms)
}

// vm is the entry VM "a" or "b" on a FakeNetwork, with the results that it counted.
type vm struct {
	gateway *fabric.Gateway
	conn    *fabric.Fake
	mu      sync.Mutex
	results []result.Code
	done    sync.WaitGroup
}

// startVM starts the named VM with one worker, which uses the handler h.
func startVM(t *testing.T, network *fabric.FakeNetwork, name string, h fabric.HandlerFunc) *vm {
	t.Helper()
	v := &vm{}
	list := newList()
	self, _ := list.Find(fleet.NewID(name))
	v.gateway = fabric.NewGateway(self.ID(), fabricAddress, newKeys(t), fabric.WithMTU(1500), fabric.WithBatchSize(2),
		fabric.WithResultFunc(func(c result.Code) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.results = append(v.results, c)
		}))
	v.gateway.SetList(list)
	v.conn = network.Listen(self.DataAddress())
	v.done.Go(func() { _ = v.gateway.NewWorker(v.conn).Run(h) })
	t.Cleanup(v.stop)
	return v
}

// stop stops the worker of the VM. After that the results are complete.
func (v *vm) stop() {
	_ = v.conn.Close()
	v.done.Wait()
}

// steerTo returns a handler that forwards packets to the named VM.
func steerTo(name string) fabric.HandlerFunc {
	return func(_ netip.AddrPort, _ *steer.Message, inner []byte, s *fabric.Sender) result.Code {
		s.SendToPeer(fleet.NewID(name), &steer.Message{Kind: steer.Steer}, inner)
		return result.Steered
	}
}

// forward sends packets from other entry VMs to the fabric.
func forward(_ netip.AddrPort, m *steer.Message, inner []byte, s *fabric.Sender) result.Code {
	if m == nil || m.Kind != steer.Steer {
		return result.Internal
	}
	s.SendToFabric(inner)
	return result.Forwarded
}

// exchange sends datagrams from the fabric to a VM and returns the inner packet that the
// fabric receives first.
func exchange(t *testing.T, conn *fabric.Fake, to netip.AddrPort, datagrams ...[]byte) []byte {
	t.Helper()
	b := fabric.NewBatch(8, 9000)
	for _, d := range datagrams {
		b.Add(append(b.Next(), d...), to)
	}
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	if err := conn.Read(b); err != nil {
		t.Fatal(err)
	}
	d, err := geneve.NewDecoder(0, 0, newKeys(t)).Decode(b.Datagram(0))
	if err != nil {
		t.Fatal(err)
	}
	return d.Inner()
}

// fromFabric returns the datagram in which the fabric sends an inner packet.
func fromFabric(t *testing.T, inner []byte) []byte {
	t.Helper()
	return geneve.NewEncoder(0, newKeys(t)).AppendFabric(nil, inner)
}

func TestPacketIsForwardedByTwoEntryVMs(t *testing.T) {
	is := is.New(t)
	network := fabric.NewFakeNetwork()
	fabricConn := network.Listen(fabricAddress)
	a := startVM(t, network, "a", steerTo("b"))
	b := startVM(t, network, "b", forward)
	want := inner(1, 100)
	got := exchange(t, fabricConn, a.conn.Address(), fromFabric(t, want))
	is.Equal(got, want)
	a.stop()
	b.stop()
	is.Equal(a.results, []result.Code{result.Steered})
	is.Equal(b.results, []result.Code{result.Forwarded})
}

func TestDropsAreCounted(t *testing.T) {
	is := is.New(t)
	network := fabric.NewFakeNetwork()
	fabricConn := network.Listen(fabricAddress)
	b := startVM(t, network, "b", func(_ netip.AddrPort, _ *steer.Message, inner []byte, s *fabric.Sender) result.Code {
		if len(inner) == 128 {
			s.SendToPeer(fleet.NewID("gone"), &steer.Message{Kind: steer.Steer}, inner)
		}
		s.SendToFabric(inner)
		return result.Forwarded
	})
	forged := geneve.NewEncoder(0, newKeys(t)).AppendPeer(nil, fleet.NewID("a"), &steer.Message{Kind: steer.Copy}, inner(1, 10))
	exchange(t, fabricConn, b.conn.Address(),
		forged, make([]byte, 3000), []byte{1}, fromFabric(t, inner(1, 100)))
	b.stop()
	is.Equal(b.results, []result.Code{
		result.DroppedBadTag, result.DroppedOversize, result.DroppedMalformed, result.DroppedUnknownPeer, result.Forwarded,
	})
}

func TestTooBigPacketIsAnsweredWithEmbeddedKey(t *testing.T) {
	is := is.New(t)
	network := fabric.NewFakeNetwork()
	fabricConn := network.Listen(fabricAddress)
	a := startVM(t, network, "a", steerTo("b"))
	sent := inner(1, 1500-28-8-28) // fits into the MTU, but not together with a message
	var p packet.Packet
	is.NoErr(p.Parse(exchange(t, fabricConn, a.conn.Address(), fromFabric(t, sent))))
	failedKey, ok := p.EmbeddedKey()
	is.True(ok)
	is.Equal(failedKey, flow.NewKey(flow.UDP, flow.EndpointFrom16(client.Address16(), 1), routed))
	a.stop()
	is.Equal(a.results, []result.Code{result.DroppedOversize, result.Steered})
}
