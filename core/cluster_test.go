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

// testCluster runs Nodes in memory, delivers the messages between them immediately and
// records the packets that they send to the fabric.
type testCluster struct {
	t         *testing.T
	now       clock.Millis
	names     []string
	nodes     map[fleet.ID]*core.Node
	placers   []*placement.Placer
	crashed   map[fleet.ID]bool
	delivered []packet.Packet
	queue     []func()
	messages  map[steer.Kind]int
}

// nodeSink is the core.Sink of one Node of a testCluster.
type nodeSink struct {
	cluster *testCluster
	self    fleet.ID
}

func (s nodeSink) SendToFabric(inner []byte) {
	var parsed packet.Packet
	if err := parsed.Parse(append([]byte(nil), inner...)); err != nil {
		s.cluster.t.Fatalf("node sent a malformed packet: %v", err)
	}
	s.cluster.delivered = append(s.cluster.delivered, parsed)
}

func (s nodeSink) SendToPeer(to fleet.ID, m *steer.Message, inner []byte) {
	message := *m
	inner = append([]byte(nil), inner...)
	c := s.cluster
	c.messages[m.Kind]++
	c.queue = append(c.queue, func() {
		if node := c.nodes[to]; node != nil && !c.crashed[to] {
			node.ReceiveFromPeer(c.now, &message, inner, nodeSink{c, to})
		}
	})
}

func (c *testCluster) deliverQueued() {
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		next()
	}
}

const testTables = `{"version":%d,"routes":[
 {"name":"feed","destination":"203.0.113.10","port":443,"protocol":"tcp","pool":"feeds","repeatable":true,"idle_timeout_seconds":300},
 {"name":"hold","destination":"203.0.113.11","port":443,"protocol":"udp","pool":"holds","repeatable":false,"idle_timeout_seconds":60}],
 "pools":[
 {"name":"feeds","prefer":"balance","spill":true,"hosts":[%s]},
 {"name":"holds","prefer":"balance","spill":true,"hosts":[%s]}]}`

func hostsJSON(subnet, count int, state string) string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf(`{"name":"h%d","address":"10.0.%d.%d","port":8443,"domain":"%c","mark":%q,"generation":1,"weight":1}`,
			i, subnet, i+1, 'a'+rune(i%4), state))
	}
	return strings.Join(all, ",")
}

func newTables(version int, state string) (*table.Snapshot, error) {
	return table.Parse([]byte(fmt.Sprintf(testTables, version, hostsJSON(1, 6, state), hostsJSON(2, 6, state))))
}

func mustTables(t *testing.T, version int, state string) *table.Snapshot {
	t.Helper()
	snapshot, err := newTables(version, state)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func newRanking(version uint64, names ...string) *fleet.Ranking {
	var vms []fleet.VM
	for _, name := range names {
		vms = append(vms, fleet.NewVM(name, name[:1], netip.AddrPort{}, netip.AddrPort{}, fleet.Serving))
	}
	return fleet.NewRanking(fleet.NewList(version, vms), fleet.WithBuckets(testBuckets))
}

// newCluster starts a Node for each named VM. The Nodes are past their quarantine and hold
// a voting lease of one hour.
func newCluster(t *testing.T, names ...string) *testCluster {
	t.Helper()
	return newClusterWith(t, clusterOptions{}, names...)
}

// clusterOptions overrides settings of the Nodes.
type clusterOptions struct {
	flows int
}

func newClusterWith(t *testing.T, o clusterOptions, names ...string) *testCluster {
	t.Helper()
	c := &testCluster{t: t, names: names, nodes: map[fleet.ID]*core.Node{}, crashed: map[fleet.ID]bool{}, messages: map[steer.Kind]int{}}
	tables := mustTables(t, 1, "serving")
	ranking := newRanking(1, names...)
	for _, name := range names {
		placer := placement.New()
		placer.SetTables(0, tables)
		c.placers = append(c.placers, placer)
		id := fleet.NewID(name)
		node := core.New(core.Options{Self: id, Incarnation: 1, Seed: 5, Shards: 2, MaxFlows: o.flows, Placer: placer, OpeningLifetime: testLifetime, MaxTickGap: clock.Hour})
		node.SetTables(0, tables)
		node.SetRanking(0, ranking)
		node.SetVotingLease(0, core.VotingLease{ListVersion: 1, SettledVersion: 1, ExpiresAt: clock.Hour})
		c.nodes[id] = node
	}
	c.now = 10 * clock.Minute
	return c
}

// tick advances the time by 100 ms and calls Tick on every live Node.
func (c *testCluster) tick() {
	c.now += 100
	for _, name := range c.names {
		if id := fleet.NewID(name); !c.crashed[id] {
			c.nodes[id].Tick(c.now, nodeSink{c, id})
		}
	}
	c.deliverQueued()
}

// crash stops a VM and reports it as dead to all other VMs.
func (c *testCluster) crash(id fleet.ID) {
	c.crashed[id] = true
	var peers []core.PeerState
	for _, name := range c.names {
		other := fleet.NewID(name)
		peers = append(peers, core.PeerState{ID: other, Alive: !c.crashed[other], Incarnation: 1})
	}
	for _, node := range c.nodes {
		node.SetPeerStates(c.now, core.NewPeerStates(peers))
	}
}

// sendFromFabric passes a packet to the first live VM from index via on. It returns the
// destination of the first packet that the Nodes sent to the fabric, or the zero endpoint
// if there was none.
func (c *testCluster) sendFromFabric(via int, inner []byte) flow.Endpoint {
	for range c.names {
		id := fleet.NewID(c.names[via%len(c.names)])
		if !c.crashed[id] {
			c.delivered = c.delivered[:0]
			c.nodes[id].ReceiveFromFabric(c.now, append([]byte(nil), inner...), nodeSink{c, id})
			c.deliverQueued()
			break
		}
		via++
	}
	if len(c.delivered) == 0 {
		return flow.Endpoint{}
	}
	key := c.delivered[0].Key()
	return key.Destination()
}

func endpoint(text string) flow.Endpoint { return flow.NewEndpoint(netip.MustParseAddrPort(text)) }

func clientKey(n int, protocol flow.Protocol, destination string) flow.Key {
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n >> 8)}), uint16(1024+n))
	return flow.NewKey(protocol, flow.NewEndpoint(client), endpoint(destination))
}

func tcpPacket(n int, flags packet.Flags, payload string) []byte {
	return packet.AppendTCP(nil, clientKey(n, flow.TCP, "203.0.113.10:443"), packet.Segment{Flags: flags, Payload: []byte(payload)})
}

func holdPacket(n int) []byte {
	return packet.AppendUDP(nil, clientKey(n, flow.UDP, "203.0.113.11:443"), []byte("hold"))
}

var eightVMs = []string{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"}

func TestFlowsSurviveAnyTwoCrashes(t *testing.T) {
	const flows = 150
	for _, service := range []string{"feed", "hold"} {
		for i := range eightVMs {
			for j := range i {
				t.Run(fmt.Sprintf("%s/%s+%s", service, eightVMs[i], eightVMs[j]), func(t *testing.T) {
					is := is.New(t)
					c := newCluster(t, eightVMs...)
					targets := make([]flow.Endpoint, flows)
					for n := range flows {
						first, second := tcpPacket(n, packet.SYN, ""), tcpPacket(n, packet.ACK, "x")
						if service == "hold" {
							first, second = holdPacket(n), holdPacket(n)
						}
						targets[n] = c.sendFromFabric(n, first)
						is.True(targets[n] != flow.Endpoint{})              // first packet is delivered
						is.Equal(c.sendFromFabric(n+3, second), targets[n]) // second packet reaches the same target
						c.sendFromFabric(n+5, second)
					}
					c.tick()
					c.crash(fleet.NewID(eightVMs[i]))
					c.crash(fleet.NewID(eightVMs[j]))
					for n := range flows {
						packet := tcpPacket(n, packet.ACK, "y")
						if service == "hold" {
							packet = holdPacket(n)
						}
						is.Equal(c.sendFromFabric(n+1, packet), targets[n]) // still the same target
					}
				})
			}
		}
	}
}

// TestMemberListChangeKeepsTargets guards against a flow reaching another target because a
// new member list gives it holders that have no record of it.
func TestMemberListChangeKeepsTargets(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	const flows = 300
	targets := make([]flow.Endpoint, flows)
	for n := range flows {
		targets[n] = c.sendFromFabric(n, tcpPacket(n, packet.SYN, ""))
		c.sendFromFabric(n+1, tcpPacket(n, packet.ACK, "x"))
	}
	newer := newRanking(2, "a1", "b1", "b2", "b3", "c1", "c2", "d1", "d2") // a2 removed, b3 added
	for _, node := range c.nodes {
		node.SetRanking(c.now, newer)
	}
	placer := placement.New()
	placer.SetTables(c.now, mustTables(t, 1, "serving"))
	id := fleet.NewID("b3")
	c.nodes[id] = core.New(core.Options{Self: id, Incarnation: 9, Seed: 5, Shards: 2, Placer: placer, StartTime: c.now})
	c.nodes[id].SetTables(c.now, mustTables(t, 1, "serving"))
	c.nodes[id].SetRanking(c.now, newer)
	for n := range flows {
		is.Equal(c.sendFromFabric(n+2, tcpPacket(n, packet.ACK, "y")), targets[n]) // same target under the new list
	}
}

// TestUnknownFlowIsDroppedSilently guards against a reset for a packet of a flow that VMs on
// the other side of a partition may hold.
func TestUnknownFlowIsDroppedSilently(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	for n := range 100 {
		is.Equal(c.sendFromFabric(n, tcpPacket(n, packet.ACK, "x")), flow.Endpoint{}) // dropped without an answer
	}
}

// TestExpiredLeaseDropsOpeningPackets guards against two targets for a non-repeatable flow,
// one of them decided by a VM whose permission has expired.
func TestExpiredLeaseDropsOpeningPackets(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	for _, node := range c.nodes {
		node.SetVotingLease(c.now, core.VotingLease{ListVersion: 1, SettledVersion: 1, ExpiresAt: c.now}) // the lease has expired
	}
	for n := range 50 {
		is.Equal(c.sendFromFabric(n, holdPacket(n)), flow.Endpoint{}) // neither placed nor refused
	}
	is.Equal(c.countResult(result.DroppedUndetermined), uint64(50))
}

func TestPoolWithoutTargetsRefusesFlows(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	leaving := mustTables(t, 2, "leaving")
	for _, node := range c.nodes {
		node.SetTables(c.now, leaving)
	}
	for _, placer := range c.placers {
		placer.SetTables(c.now, leaving)
	}
	for n := range 50 {
		is.Equal(c.sendFromFabric(n, tcpPacket(n, packet.SYN, "")), clientEndpoint(n)) // the client receives a reset
		is.Equal(c.delivered[0].Flags()&packet.RST, packet.RST)
		answer := c.sendFromFabric(n, holdPacket(n))
		is.Equal(answer.Address16(), clientEndpoint(n).Address16()) // an ICMP error, which has no port
	}
	is.Equal(c.countResult(result.Placed), uint64(0))
}

func clientEndpoint(n int) flow.Endpoint {
	key := clientKey(n, flow.TCP, "203.0.113.10:443")
	return key.Source()
}

func (c *testCluster) countResult(code result.Code) uint64 {
	var total uint64
	for _, node := range c.nodes {
		total += node.PacketCount(code)
	}
	return total
}

// TestFirstPacketMessageCount guards against messages in a steady state other than the hop
// to the owner and the copy that the first packet of a flow carries.
func TestFirstPacketMessageCount(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	const flows = 1000
	for n := range flows {
		c.sendFromFabric(n, tcpPacket(n, packet.SYN, ""))
	}
	is.Equal(c.messages[steer.Copy], flows)               // one copy per flow
	is.True(c.messages[steer.Steer] <= flows)             // at most one hop to the owner
	is.Equal(c.messages[steer.Lookup], 0)                 // no lookups in a steady state
	is.Equal(c.messages[steer.Repair], 0)                 // no control traffic
	is.Equal(c.countResult(result.Placed), uint64(flows)) // each flow placed once
}
