package core

import (
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
)

// place chooses a target for a new flow and forwards its packet.
func (s *shard) place(fc *flowContext) result.Code {
	if !s.mayPlace(fc) {
		return result.DroppedUndetermined
	}
	if s.isFull() {
		return result.DroppedTableFull
	}
	target, code := s.node.options.Placer.Place(fc.now, fc.route, fc.hash, 0)
	if code != result.Placed {
		return s.handleNoTarget(fc, code)
	}
	r := s.insertRecord(fc, target)
	s.markPlaced(r)
	s.node.count(result.Placed)
	return s.forward(fc, r)
}

// handleNoTarget refuses a flow for which there is no target. If another VM may have
// placed the flow, it drops the packet without an answer instead.
func (s *shard) handleNoTarget(fc *flowContext, code result.Code) result.Code {
	if !s.isCertainlyNew(fc) || !s.allHoldersAlive(fc) {
		return result.DroppedNoTarget
	}
	s.sendRefusal(fc)
	return code
}

func (s *shard) allHoldersAlive(fc *flowContext) bool {
	for i := range fc.holders.Len() {
		if !fc.view.alive(fc.holders.At(i), s.self()) {
			return false
		}
	}
	return true
}

// sendRefusal sends the client a TCP reset or an ICMP error for a flow that was refused
// without reaching a target.
func (s *shard) sendRefusal(fc *flowContext) result.Code {
	if fc.key.Protocol() == flow.TCP {
		s.replyBuffer = packet.AppendReset(s.replyBuffer[:0], fc.packet)
	} else {
		s.replyBuffer = packet.AppendUnreachable(s.replyBuffer[:0], fc.packet)
	}
	fc.sink.SendToFabric(s.replyBuffer)
	return result.RefusedNoTarget
}

// placeOnOtherTarget chooses another target for a flow that its target refused before
// processing any of it. The Placer may deny this when its retry budget is exhausted.
func (s *shard) placeOnOtherTarget(fc *flowContext, r *record) result.Code {
	if !isSYN(fc) {
		return result.DroppedUnknownFlow
	}
	excluded := r.target.ID()
	target, code := s.node.options.Placer.Place(fc.now, fc.route, fc.hash, excluded)
	s.deleteRecord(fc.hash, &fc.key, r)
	if code != result.Placed {
		return s.handleNoTarget(fc, code)
	}
	r = s.insertRecord(fc, target)
	s.markPlaced(r)
	s.node.count(result.Replaced)
	return s.forward(fc, r)
}

// insertRecord adds a record. It returns nil if the table is full.
func (s *shard) insertRecord(fc *flowContext, target flow.Target) *record {
	limit := s.node.options.MaxFlows / len(s.node.shards)
	r, added := s.flows.Put(fc.hash, &fc.key)
	if added && s.flows.Len() > limit {
		s.flows.Delete(fc.hash, &fc.key)
		return nil
	}
	if added {
		s.openings++ // estimate until the next full sweep
	}
	r.initialize(fc.now, fc.route, target, fc.view.tables.Version(), s.node.options.OpeningLifetime)
	return r
}
