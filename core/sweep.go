package core

import (
	"maps"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/steer"
)

// sweepTicks is the number of ticks in which the whole flow table is gone through once.
const sweepTicks = 50

// tick goes through a part of the shard: it expires what is idle, gives back counts of
// flows that others serve, and repairs copies of idle flows within the budget.
func (s *shard) tick(now clock.Millis, v *view, sink Sink) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := s.flows.Slots()/sweepTicks + 1
	crowded := s.isFull()
	var repairs []flow.Key
	before := s.position
	s.position = s.flows.Sweep(s.position, count, func(hash uint64, key *flow.Key, r *record) bool {
		if now-r.seen >= r.timeout(key.Protocol(), s.node.options.OpeningLifetime, crowded) {
			s.disown(r)
			return false
		}
		if r.isQuiet(now, key.Protocol()) {
			s.uncount(r)
		}
		if r.state == opening {
			s.counting++
		}
		if s.needsRepair(now, v, hash, key, r) {
			repairs = append(repairs, *key)
		}
		return true
	})
	if s.position <= before {
		s.openings, s.counting = s.counting, 0
	}
	for i := range repairs {
		s.repair(now, v, &repairs[i], sink)
	}
	s.flushSettled(now, v, sink)
	s.expireRegisters(now)
}

// flushSettled tells proposers of decided flows where no packet went their way on which
// the news could ride. Until then a proposer sends each packet through another holder.
func (s *shard) flushSettled(now clock.Millis, v *view, sink Sink) {
	a := arrival{now: now, view: v, sink: sink}
	for _, to := range slices.Sorted(maps.Keys(s.settled)) {
		waiting := s.settled[to]
		if len(waiting) == 0 {
			delete(s.settled, to)
			continue
		}
		for range (len(waiting) + steer.MaxDecided - 1) / steer.MaxDecided {
			s.message = steer.Message{Kind: steer.Settled}
			if !s.send(&a, to, &s.message, nil) {
				return
			}
		}
	}
}

// needsRepair reports whether this VM owns the flow and a holder lacks a copy, or another
// VM owns it now.
func (s *shard) needsRepair(now clock.Millis, v *view, hash uint64, key *flow.Key, r *record) bool {
	if !r.has(owned) || now-r.seen < firstRefresh {
		return false
	}
	spread := spreadOf(!r.has(unique))
	holders := v.epochs[0].ranking.Holders(hash, spread)
	if r.signature != v.signature(&holders) {
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

// repair sends a record to the holders that lack it, as far as the budget allows.
func (s *shard) repair(now clock.Millis, v *view, key *flow.Key, sink Sink) {
	route := v.tables.Lookup(key)
	if route == nil {
		return
	}
	hash := key.Hash(s.node.options.Seed)
	a := arrival{now: now, view: v, key: *key, hash: hash, route: route, sink: sink}
	a.holders = v.epochs[0].ranking.Holders(hash, spreadOf(route.Repeatable()))
	r := s.flows.Get(hash, key)
	if r == nil {
		return
	}
	for range a.holders.Len() {
		before := *r
		to := s.nextCopy(&a, r)
		if to == 0 {
			break
		}
		if !s.tell(&a, r, to) {
			*r = before
			return
		}
	}
	if s.owner(&a) != s.self() {
		s.disown(r)
	}
}

// expireRegisters forgets undecided flows that no opening packet can ask for any more.
func (s *shard) expireRegisters(now clock.Millis) {
	for hash, g := range s.registers {
		if now-g.touched < s.node.options.OpeningLifetime {
			continue
		}
		if g.counted {
			s.node.options.Placer.Closed(g.target.ID())
		}
		delete(s.registers, hash)
	}
}

// HandOver sends the records of owned flows to the VMs that hold them next, as far as a
// budget allows, and returns how many are left. A leaving VM calls it until none is. The
// Node's own budget applies where none is given.
func (n *Node) HandOver(now clock.Millis, sink Sink, budget Budget) int {
	v := n.view.Load()
	if !v.ready() {
		return 0
	}
	left := 0
	for i := range n.shards {
		left += n.shards[i].handOver(now, v, sink, budget)
	}
	return left
}

func (s *shard) handOver(now clock.Millis, v *view, sink Sink, budget Budget) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := 0
	s.flows.Sweep(0, s.flows.Slots(), func(hash uint64, key *flow.Key, r *record) bool {
		route := v.tables.Lookup(key)
		if !r.has(owned) || route == nil {
			return true
		}
		a := arrival{now: now, view: v, key: *key, hash: hash, route: route, sink: sink, budget: budget}
		a.holders = v.epochs[0].ranking.Holders(hash, spreadOf(route.Repeatable()))
		to := s.owner(&a)
		if to == 0 || to == s.self() {
			return true
		}
		if !s.tell(&a, r, to) {
			left++
			return true
		}
		s.disown(r)
		return true
	})
	return left
}
