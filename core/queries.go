package core

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
)

// Count returns how many packets ended in a code.
func (n *Node) Count(code result.Code) uint64 {
	return n.codes[code%maxCode].Load()
}

// Flows returns the number of flows held, own and copies.
func (n *Node) Flows() int {
	total := 0
	for i := range n.shards {
		s := &n.shards[i]
		s.mutex.Lock()
		total += s.flows.Len()
		s.mutex.Unlock()
	}
	return total
}

// FlowInfo describes one flow for operators.
type FlowInfo struct {
	// Key is the flow.
	Key flow.Key
	// Target is where it goes. Its ID is zero when that is not known here.
	Target flow.Target
	// Owned says that this VM serves the flow.
	Owned bool
	// Decided says that the target can never change.
	Decided bool
	// Idle is the span since its last packet here.
	Idle clock.Millis
}

// Lookup returns what this VM knows of a flow.
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

// Each calls visit for up to most flows.
func (n *Node) Each(now clock.Millis, most int, visit func(FlowInfo)) {
	for i := range n.shards {
		s := &n.shards[i]
		s.mutex.Lock()
		s.flows.Sweep(0, min(most, s.flows.Slots()), func(_ uint64, key *flow.Key, r *record) bool {
			if most > 0 {
				visit(r.info(now, key))
				most--
			}
			return true
		})
		s.mutex.Unlock()
	}
}

// Holders returns the holders of a flow under the list in force, highest rank first.
func (n *Node) Holders(key *flow.Key, repeatable bool) fleet.Holders {
	v := n.view.Load()
	if len(v.epochs) == 0 {
		return fleet.Holders{}
	}
	return v.epochs[0].ranking.Holders(key.Hash(n.options.Seed), spreadOf(repeatable))
}
