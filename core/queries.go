package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
)

// PacketCount returns the number of packets that ended with a result code.
func (n *Node) PacketCount(code result.Code) uint64 {
	return n.codeCounts[code%codeSlots].Load()
}

// FlowCount returns the number of flows in the flow table, both owned flows and copies.
func (n *Node) FlowCount() int {
	total := 0
	for i := range n.shards {
		s := &n.shards[i]
		s.mutex.Lock()
		total += s.flows.Len()
		s.mutex.Unlock()
	}
	return total
}

// FlowInfo describes a flow for operators.
type FlowInfo struct {
	// Key identifies the flow.
	Key flow.Key
	// Target is the target of the flow. Its endpoint is zero if the flow was refused.
	Target flow.Target
	// Owned reports whether this VM serves the flow.
	Owned bool
	// Decided reports whether the target is final.
	Decided bool
	// Idle is the time since this VM last received a packet of the flow.
	Idle clock.Millis
}

// Lookup returns the local record of a flow, if there is one.
func (n *Node) Lookup(now clock.Millis, key *flow.Key) (FlowInfo, bool) {
	hash := key.Hash(n.options.Seed)
	s := n.shardOf(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.flows.Get(hash, key)
	if r == nil {
		return FlowInfo{}, false
	}
	return r.info(now, key), true
}

// EachFlow calls visit for each flow in the flow table, up to limit flows. A shard is locked
// during each call, so visit must not call the Node.
func (n *Node) EachFlow(now clock.Millis, limit int, visit func(FlowInfo)) {
	for i := range n.shards {
		s := &n.shards[i]
		s.mutex.Lock()
		s.flows.Sweep(0, min(limit, s.flows.Slots()), func(_ uint64, key *flow.Key, r *record) bool {
			if limit > 0 {
				visit(r.info(now, key))
				limit--
			}
			return true
		})
		s.mutex.Unlock()
	}
}

// Holders returns the holders of a flow under the current member list, highest rank first.
func (n *Node) Holders(key *flow.Key, repeatable bool) fleet.Holders {
	v := n.view.Load()
	if len(v.epochs) == 0 {
		return fleet.Holders{}
	}
	return v.epochs[0].ranking.Holders(key.Hash(n.options.Seed), spreadOf(repeatable))
}
