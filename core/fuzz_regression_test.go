package core_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
)

// restartFirstHolder replaces the Node of the flow's first-ranked holder by one that has
// no records and may not vote, as happens while the member list changes.
func (c *testCluster) restartFirstHolder(key *flow.Key, repeatable bool) {
	holders := c.nodes[fleet.NewID(c.names[0])].Holders(key, repeatable)
	id := holders.At(0)
	placer := placement.New()
	tables := mustTables(c.t, 1, "serving")
	placer.SetTables(0, tables)
	node := core.New(core.Options{Self: id, Incarnation: 2, Seed: 5, Shards: 2, Placer: placer, OpeningLifetime: testLifetime, MaxTickGap: clock.Hour})
	node.SetTables(0, tables)
	node.SetRanking(0, newRanking(1, c.names...))
	c.nodes[id] = node
}

// TestNonVotingOwnerLooksUpDecidedFlow guards against a failure found by the fuzzer (seed
// 447): an owner that may not vote dropped packets of non-repeatable flows whose target
// was already decided and known to other holders.
func TestNonVotingOwnerLooksUpDecidedFlow(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	key := clientKey(3, flow.UDP, "203.0.113.11:443")
	first := c.sendFromFabric(0, holdPacket(3))
	is.True(first != flow.Endpoint{})
	c.restartFirstHolder(&key, false)
	is.Equal(c.sendFromFabric(1, holdPacket(3)), first)
}

// TestSecondCopySkipsHolderWithCopy guards against a failure found by the fuzzer (seed
// 403): after the state of a holder changed, the second packet of a flow carried another
// copy to the holder that already had the first.
func TestSecondCopySkipsHolderWithCopy(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, eightVMs...)
	c.sendFromFabric(0, tcpPacket(3, packet.SYN, ""))
	key := clientKey(3, flow.TCP, "203.0.113.10:443")
	holders := c.nodes[fleet.NewID(eightVMs[0])].Holders(&key, true)
	var peers []core.PeerState
	for _, name := range eightVMs {
		id := fleet.NewID(name)
		peers = append(peers, core.PeerState{ID: id, Alive: true, Quarantined: id == holders.At(1)})
	}
	for _, node := range c.nodes {
		node.SetPeerStates(c.now, core.NewPeerStates(peers))
	}
	c.sendFromFabric(0, tcpPacket(3, packet.ACK, "x"))
	for i := range holders.Len() {
		_, known := c.nodes[holders.At(i)].Lookup(c.now, &key)
		is.True(known) // all holders have the record after two packets
	}
}
