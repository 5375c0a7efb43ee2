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

// restartFirst gives the first-ranked holder of a flow a Node without memory that may not
// vote, as while a list is changing.
func (b *bus) restartFirst(key *flow.Key, repeatable bool) {
	holders := b.nodes[fleet.NewID(b.names[0])].Holders(key, repeatable)
	id := holders.At(0)
	placer := placement.New()
	tables := parseTables(b.t, 1, "serving")
	placer.SetTables(0, tables)
	node := core.New(core.Options{Self: id, Incarnation: 2, Seed: 5, Shards: 2, Placer: placer, OpeningLifetime: testLifetime, PauseGap: clock.Hour})
	node.SetTables(0, tables)
	node.SetList(0, rankingOf(1, b.names...))
	b.nodes[id] = node
}

// TestDecidedHoldIsAskedForWithoutVote is what seed 447 of the fuzzer showed: an owner
// that may not vote dropped packets of holds that others knew to be decided.
func TestDecidedHoldIsAskedForWithoutVote(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	key := clientKey(3, flow.UDP, "203.0.113.11:443")
	first := b.client(0, hold(3))
	is.True(first != flow.Endpoint{})
	b.restartFirst(&key, false)
	is.Equal(b.client(1, hold(3)), first)
}

// TestCopiesAvoidHoldersThatHadOne is what seed 403 of the fuzzer showed: when a holder's
// state changed, the second packet took a second copy to the holder that had the first.
func TestCopiesAvoidHoldersThatHadOne(t *testing.T) {
	is := is.New(t)
	b := newBus(t, eight...)
	b.client(0, segment(3, packet.SYN, ""))
	key := clientKey(3, flow.TCP, "203.0.113.10:443")
	holders := b.nodes[fleet.NewID(eight[0])].Holders(&key, true)
	var peers []core.Peer
	for _, name := range eight {
		id := fleet.NewID(name)
		peers = append(peers, core.Peer{ID: id, Alive: true, Quarantined: id == holders.At(1)})
	}
	for _, node := range b.nodes {
		node.SetPeers(b.now, core.NewPeers(peers))
	}
	b.client(0, segment(3, packet.ACK, "x"))
	for i := range holders.Len() {
		_, known := b.nodes[holders.At(i)].Lookup(b.now, &key)
		is.True(known) // all holders have the record after two packets
	}
}
