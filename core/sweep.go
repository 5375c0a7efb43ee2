package core

import (
	"maps"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/steer"
)

// sweepTicks is the number of ticks for one sweep of the whole flow table.
const sweepTicks = 50

// tick sweeps a part of the shard: it expires idle records, stops counting quiet UDP flows
// as load, releases flows that other VMs own now, and repairs copies of idle flows within
// the rate limit.
func (s *shard) tick(now clock.Millis, v *view, sink Sink) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := s.flows.Slots()/sweepTicks + 1
	nearlyFull := s.isFull()
	var repairs []flow.Key
	start := s.sweepPosition
	s.sweepPosition = s.flows.Sweep(s.sweepPosition, count, func(hash uint64, key *flow.Key, r *record) bool {
		if now-r.lastSeen >= r.timeout(key.Protocol(), s.node.options.OpeningLifetime, nearlyFull) {
			s.releaseOwnership(r)
			return false
		}
		if r.isQuiet(now, key.Protocol()) {
			s.removeLoad(r)
		}
		if r.state == opening {
			s.openingsSeen++
		}
		if s.needsRepair(now, v, hash, key, r) {
			repairs = append(repairs, *key)
		}
		return true
	})
	if s.sweepPosition <= start {
		s.openings, s.openingsSeen = s.openingsSeen, 0
	}
	for i := range repairs {
		s.repair(now, v, &repairs[i], sink)
	}
	s.flushDecisions(now, v, sink)
	s.expireInstances(now)
}

// flushDecisions reports decided flows to their proposers if no other message has carried
// the report. Until it arrives, a proposer sends each packet of such a flow through
// another holder.
func (s *shard) flushDecisions(now clock.Millis, v *view, sink Sink) {
	fc := flowContext{now: now, view: v, sink: sink}
	for _, to := range slices.Sorted(maps.Keys(s.decisions)) {
		queued := s.decisions[to]
		if len(queued) == 0 {
			delete(s.decisions, to)
			continue
		}
		for range (len(queued) + steer.MaxDecidedFlows - 1) / steer.MaxDecidedFlows {
			s.message = steer.Message{Kind: steer.DecidedFlows}
			if !s.send(&fc, to, &s.message, nil) {
				return
			}
		}
	}
}

// needsRepair reports whether a flow owned by this VM lacks a copy at a live holder or may
// belong to another owner now, because its holders have changed.
func (s *shard) needsRepair(now clock.Millis, v *view, hash uint64, key *flow.Key, r *record) bool {
	if !r.has(owned) || now-r.lastSeen < firstRefresh {
		return false
	}
	spread := spreadOf(!r.has(nonRepeatable))
	holders := v.epochs[0].ranking.Holders(hash, spread)
	if r.signature != v.holderSignature(&holders) {
		return true
	}
	for i := range holders.Len() {
		id := holders.At(i)
		if id != s.self() && r.copies&(1<<i) == 0 && v.alive(id, s.self()) {
			return true
		}
	}
	_ = key
	return false
}

// repair sends a record to the holders that lack it, as far as the rate limit allows.
func (s *shard) repair(now clock.Millis, v *view, key *flow.Key, sink Sink) {
	route := v.tables.Lookup(key)
	if route == nil {
		return
	}
	hash := key.Hash(s.node.options.Seed)
	fc := flowContext{now: now, view: v, key: *key, hash: hash, route: route, sink: sink}
	fc.holders = v.epochs[0].ranking.Holders(hash, spreadOf(route.Repeatable()))
	r := s.flows.Get(hash, key)
	if r == nil {
		return
	}
	for range fc.holders.Len() {
		saved := *r
		to := s.nextCopyHolder(&fc, r)
		if to == 0 {
			break
		}
		if !s.sendRecord(&fc, r, to) {
			*r = saved
			return
		}
	}
	if s.owner(&fc) != s.self() {
		s.releaseOwnership(r)
	}
}

// expireInstances removes undecided flows whose opening packets can no longer arrive.
func (s *shard) expireInstances(now clock.Millis) {
	for hash, inst := range s.instances {
		if now-inst.lastUsed < s.node.options.OpeningLifetime {
			continue
		}
		if inst.counted {
			s.node.options.Placer.RemoveFlow(inst.target.ID())
		}
		delete(s.instances, hash)
	}
}

// HandOver sends the records of owned flows to their next owners, as far as the rate limit
// allows, and returns the number of flows that remain. A VM that leaves calls it until
// none remain. If limiter is nil, Options.RateLimiter applies.
func (n *Node) HandOver(now clock.Millis, sink Sink, limiter RateLimiter) int {
	v := n.view.Load()
	if !v.ready() {
		return 0
	}
	remaining := 0
	for i := range n.shards {
		remaining += n.shards[i].handOver(now, v, sink, limiter)
	}
	return remaining
}

func (s *shard) handOver(now clock.Millis, v *view, sink Sink, limiter RateLimiter) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remaining := 0
	s.flows.Sweep(0, s.flows.Slots(), func(hash uint64, key *flow.Key, r *record) bool {
		route := v.tables.Lookup(key)
		if !r.has(owned) || route == nil {
			return true
		}
		fc := flowContext{now: now, view: v, key: *key, hash: hash, route: route, sink: sink, limiter: limiter}
		fc.holders = v.epochs[0].ranking.Holders(hash, spreadOf(route.Repeatable()))
		to := s.owner(&fc)
		if to == 0 || to == s.self() {
			return true
		}
		if !s.sendRecord(&fc, r, to) {
			remaining++
			return true
		}
		s.releaseOwnership(r)
		return true
	})
	return remaining
}
