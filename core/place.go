package core

import (
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
)

// place gives a new flow a target and forwards its packet.
func (s *shard) place(a *arrival) result.Code {
	if !s.mayPlace(a) {
		return result.DroppedUndetermined
	}
	if s.isFull() {
		return result.DroppedTableFull
	}
	target, code := s.node.options.Placer.Place(a.now, a.route, a.hash, 0)
	if code != result.Placed {
		return s.noTarget(a, code)
	}
	r := s.insert(a, target)
	s.placed(r)
	s.node.count(result.Placed)
	return s.forward(a, r)
}

// noTarget refuses a flow when no other VM can have placed it, and is silent otherwise.
func (s *shard) noTarget(a *arrival, code result.Code) result.Code {
	if !s.isCertain(a) || !s.allAlive(a) {
		return result.DroppedNoTarget
	}
	s.answerRefusal(a)
	return code
}

func (s *shard) allAlive(a *arrival) bool {
	for i := range a.holders.Len() {
		if !a.view.alive(a.holders.At(i), s.self()) {
			return false
		}
	}
	return true
}

// answerRefusal tells the client that its flow was refused and did not run.
func (s *shard) answerRefusal(a *arrival) result.Code {
	if a.key.Protocol() == flow.TCP {
		s.scratch = packet.AppendReset(s.scratch[:0], a.packet)
	} else {
		s.scratch = packet.AppendUnreachable(s.scratch[:0], a.packet)
	}
	a.sink.Fabric(s.scratch)
	return result.RefusedNoTarget
}

// placeElsewhere gives a flow that its target refused untouched another target. The
// Placer's retry budget decides whether it may.
func (s *shard) placeElsewhere(a *arrival, r *record) result.Code {
	if !isSYN(a) {
		return result.DroppedUnknownFlow
	}
	old := r.target.ID()
	target, code := s.node.options.Placer.Place(a.now, a.route, a.hash, old)
	s.drop(a.hash, &a.key, r)
	if code != result.Placed {
		return s.noTarget(a, code)
	}
	r = s.insert(a, target)
	s.placed(r)
	s.node.count(result.Replaced)
	return s.forward(a, r)
}

// insert adds a record, or returns nil where the table is full.
func (s *shard) insert(a *arrival, target flow.Target) *record {
	limit := s.node.options.Flows / len(s.node.shards)
	r, added := s.flows.Put(a.hash, &a.key)
	if added && s.flows.Len() > limit {
		s.flows.Delete(a.hash, &a.key)
		return nil
	}
	if added {
		s.openings++ // until the sweep counts again
	}
	r.initialize(a.now, a.route, target, a.view.tables.Version(), s.node.options.OpeningLifetime)
	return r
}
