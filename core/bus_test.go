package core_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
	"github.com/almondflow/almondflow/table"
)

const (
	testBuckets  = 1024
	testLifetime = 2 * clock.Minute
)

// bus carries messages between Nodes at once and keeps what goes to the fabric.
type bus struct {
	t         *testing.T
	now       clock.Millis
	names     []string
	nodes     map[fleet.ID]*core.Node
	placers   []*placement.Placer
	down      map[fleet.ID]bool
	delivered []packet.Packet
	queue     []func()
	messages  map[steer.Kind]int
}

// port is the Sink of one Node.
type port struct {
	bus  *bus
	self fleet.ID
}

func (p port) Fabric(inner []byte) {
	var parsed packet.Packet
	if err := parsed.Parse(append([]byte(nil), inner...)); err != nil {
		p.bus.t.Fatalf("node sent a malformed packet: %v", err)
	}
	p.bus.delivered = append(p.bus.delivered, parsed)
}

func (p port) Peer(to fleet.ID, m *steer.Message, inner []byte) {
	message := *m
	inner = append([]byte(nil), inner...)
	b := p.bus
	b.messages[m.Kind]++
	b.queue = append(b.queue, func() {
		if node := b.nodes[to]; node != nil && !b.down[to] {
			node.FromPeer(b.now, &message, inner, port{b, to})
		}
	})
}

func (b *bus) drain() {
	for len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		next()
	}
}

const testTables = `{"version":%d,"routes":[
 {"name":"feed","destination":"203.0.113.10","port":443,"protocol":"tcp","pool":"feeds","repeatable":true,"idle_timeout_seconds":300},
 {"name":"hold","destination":"203.0.113.11","port":443,"protocol":"udp","pool":"holds","repeatable":false,"idle_timeout_seconds":60}],
 "pools":[
 {"name":"feeds","prefer":"balance","spill":true,"hosts":[%s]},
 {"name":"holds","prefer":"balance","spill":true,"hosts":[%s]}]}`

func hosts(subnet, count int, mark string) string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf(`{"name":"h%d","address":"10.0.%d.%d","port":8443,"domain":"%c","mark":%q,"generation":1,"weight":1}`,
			i, subnet, i+1, 'a'+rune(i%4), mark))
	}
	return strings.Join(all, ",")
}

func tablesOf(version int, mark string) (*table.Snapshot, error) {
	return table.Parse([]byte(fmt.Sprintf(testTables, version, hosts(1, 6, mark), hosts(2, 6, mark))))
}

func parseTables(t *testing.T, version int, mark string) *table.Snapshot {
	t.Helper()
	snapshot, err := tablesOf(version, mark)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func rankingOf(version uint64, names ...string) *fleet.Ranking {
	var vms []fleet.VM
	for _, name := range names {
		vms = append(vms, fleet.NewVM(name, name[:1], netip.AddrPort{}, netip.AddrPort{}, fleet.Serving))
	}
	return fleet.NewRanking(fleet.NewList(version, vms), fleet.WithBuckets(testBuckets))
}

// newBus starts a Node on each VM, past its quarantine and with a lease that lasts.
func newBus(t *testing.T, names ...string) *bus {
	t.Helper()
	return newBusWith(t, busOptions{}, names...)
}

// busOptions change the Nodes of a bus.
type busOptions struct {
	flows int
}

func newBusWith(t *testing.T, o busOptions, names ...string) *bus {
	t.Helper()
	b := &bus{t: t, names: names, nodes: map[fleet.ID]*core.Node{}, down: map[fleet.ID]bool{}, messages: map[steer.Kind]int{}}
	tables := parseTables(t, 1, "serving")
	ranking := rankingOf(1, names...)
	for _, name := range names {
		placer := placement.New()
		placer.SetTables(0, tables)
		b.placers = append(b.placers, placer)
		id := fleet.NewID(name)
		node := core.New(core.Options{Self: id, Incarnation: 1, Seed: 5, Shards: 2, Flows: o.flows, Placer: placer, OpeningLifetime: testLifetime, PauseGap: clock.Hour})
		node.SetTables(0, tables)
		node.SetList(0, ranking)
		node.SetVoting(0, core.Voting{List: 1, Settled: 1, Until: clock.Hour})
		b.nodes[id] = node
	}
	b.now = 10 * clock.Minute
	return b
}

// tick lets every live Node do its periodic work.
func (b *bus) tick() {
	b.now += 100
	for _, name := range b.names {
		if id := fleet.NewID(name); !b.down[id] {
			b.nodes[id].Tick(b.now, port{b, id})
		}
	}
	b.drain()
}

// crash takes a VM away and tells the others.
func (b *bus) crash(id fleet.ID) {
	b.down[id] = true
	var peers []core.Peer
	for _, name := range b.names {
		other := fleet.NewID(name)
		peers = append(peers, core.Peer{ID: other, Alive: !b.down[other], Incarnation: 1})
	}
	for _, node := range b.nodes {
		node.SetPeers(b.now, core.NewPeers(peers))
	}
}

// client hands a packet to a live VM and returns where it came out, or the zero endpoint.
func (b *bus) client(via int, inner []byte) flow.Endpoint {
	for range b.names {
		id := fleet.NewID(b.names[via%len(b.names)])
		if !b.down[id] {
			b.delivered = b.delivered[:0]
			b.nodes[id].FromFabric(b.now, append([]byte(nil), inner...), port{b, id})
			b.drain()
			break
		}
		via++
	}
	if len(b.delivered) == 0 {
		return flow.Endpoint{}
	}
	key := b.delivered[0].Key()
	return key.Destination()
}

func endpoint(text string) flow.Endpoint { return flow.NewEndpoint(netip.MustParseAddrPort(text)) }

func clientKey(n int, protocol flow.Protocol, destination string) flow.Key {
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n >> 8)}), uint16(1024+n))
	return flow.NewKey(protocol, flow.NewEndpoint(client), endpoint(destination))
}

func segment(n int, flags packet.Flags, payload string) []byte {
	return packet.AppendTCP(nil, clientKey(n, flow.TCP, "203.0.113.10:443"), packet.Segment{Flags: flags, Payload: []byte(payload)})
}

func hold(n int) []byte {
	return packet.AppendUDP(nil, clientKey(n, flow.UDP, "203.0.113.11:443"), []byte("hold"))
}

var eight = []string{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"}

func TestFlowsSurviveAnyTwoCrashes(t *testing.T) {
	const flows = 150
	for _, protocol := range []string{"feed", "hold"} {
		for i := range eight {
			for j := range i {
				t.Run(fmt.Sprintf("%s/%s+%s", protocol, eight[i], eight[j]), func(t *testing.T) {
					is := is.New(t)
					b := newBus(t, eight...)
					placed := make([]flow.Endpoint, flows)
					for n := range flows {
						first, second := segment(n, packet.SYN, ""), segment(n, packet.ACK, "x")
						if protocol == "hold" {
							first, second = hold(n), hold(n)
						}
						placed[n] = b.client(n, first)
						is.True(placed[n] != flow.Endpoint{})      // first packet arrives
						is.Equal(b.client(n+3, second), placed[n]) // second one at the same target
						b.client(n+5, second)
					}
					b.tick()
					b.crash(fleet.NewID(eight[i]))
					b.crash(fleet.NewID(eight[j]))
					for n := range flows {
						packet := segment(n, packet.ACK, "y")
						if protocol == "hold" {
							packet = hold(n)
						}
						is.Equal(b.client(n+1, packet), placed[n]) // still the same target
					}
				})
			}
		}
	}
}

func TestListChangeMovesNoFlow(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	const flows = 300
	placed := make([]flow.Endpoint, flows)
	for n := range flows {
		placed[n] = b.client(n, segment(n, packet.SYN, ""))
		b.client(n+1, segment(n, packet.ACK, "x"))
	}
	newer := rankingOf(2, "a1", "b1", "b2", "b3", "c1", "c2", "d1", "d2") // a2 gone, b3 new
	for _, node := range b.nodes {
		node.SetList(b.now, newer)
	}
	placer := placement.New()
	placer.SetTables(b.now, parseTables(t, 1, "serving"))
	id := fleet.NewID("b3")
	b.nodes[id] = core.New(core.Options{Self: id, Incarnation: 9, Seed: 5, Shards: 2, Placer: placer, Started: b.now})
	b.nodes[id].SetTables(b.now, parseTables(t, 1, "serving"))
	b.nodes[id].SetList(b.now, newer)
	for n := range flows {
		is.Equal(b.client(n+2, segment(n, packet.ACK, "y")), placed[n]) // same target under the new list
	}
}

func TestUnknownFlowsGetNoAnswer(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	for n := range 100 {
		is.Equal(b.client(n, segment(n, packet.ACK, "x")), flow.Endpoint{}) // silence
	}
}

func TestHoldWithoutMajorityIsUndetermined(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	for _, node := range b.nodes {
		node.SetVoting(b.now, core.Voting{List: 1, Settled: 1, Until: b.now}) // the lease ran out
	}
	for n := range 50 {
		is.Equal(b.client(n, hold(n)), flow.Endpoint{}) // neither placed nor refused
	}
	is.Equal(b.total(result.DroppedUndetermined), uint64(50))
}

func TestPoolWithoutTargetsIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	leaving := parseTables(t, 2, "leaving")
	for _, node := range b.nodes {
		node.SetTables(b.now, leaving)
	}
	for _, placer := range b.placers {
		placer.SetTables(b.now, leaving)
	}
	for n := range 50 {
		is.Equal(b.client(n, segment(n, packet.SYN, "")), endpointOf(n)) // the answer goes to the client
		is.Equal(b.delivered[0].Flags()&packet.RST, packet.RST)
		answer := b.client(n, hold(n))
		is.Equal(answer.Address16(), endpointOf(n).Address16()) // an ICMP error, without a port
	}
	is.Equal(b.total(result.Placed), uint64(0))
}

func endpointOf(n int) flow.Endpoint {
	key := clientKey(n, flow.TCP, "203.0.113.10:443")
	return key.Source()
}

func (b *bus) total(code result.Code) uint64 {
	var total uint64
	for _, node := range b.nodes {
		total += node.Count(code)
	}
	return total
}

func TestFirstPacketTakesOneExtraHop(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	const flows = 1000
	for n := range flows {
		b.client(n, segment(n, packet.SYN, ""))
	}
	is.Equal(b.messages[steer.Copy], flows)         // one copy each
	is.True(b.messages[steer.Steer] <= flows)       // at most one step to the owner
	is.Equal(b.messages[steer.Ask], 0)              // no questions in a steady state
	is.Equal(b.messages[steer.Repair], 0)           // no control traffic
	is.Equal(b.total(result.Placed), uint64(flows)) // each placed once
}
