package core

import (
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
)

// serveAsOwner handles a client's packet at the owner of its flow.
func (s *shard) serveAsOwner(fc *flowContext) result.Code {
	r := s.flows.Get(fc.hash, &fc.key)
	if r != nil && !s.isTargetValid(fc, r) {
		s.deleteRecord(fc.hash, &fc.key, r)
		r = nil
	}
	if r != nil && s.startsNewFlow(fc, r) {
		s.deleteRecord(fc.hash, &fc.key, r)
		r = nil
	}
	if r == nil {
		return s.handleMiss(fc)
	}
	if r.has(refusedByTarget) {
		return s.placeOnOtherTarget(fc, r)
	}
	s.takeOwnership(r)
	return s.forward(fc, r)
}

// isTargetValid reports whether the target of a record still belongs to the service. The
// host's address may have been reassigned to another pool.
func (s *shard) isTargetValid(fc *flowContext, r *record) bool {
	version := uint32(fc.view.tables.Version())
	if r.tableVersion == version || r.isRefusal() {
		return true
	}
	endpoint := r.target.Endpoint()
	destination, known := fc.view.tables.ReplySource(endpoint, fc.key.Protocol())
	if known && destination != fc.key.Destination() {
		return false
	}
	r.tableVersion = version
	return true
}

// startsNewFlow reports whether the packet is a SYN that reuses the endpoints of a closed
// flow.
func (s *shard) startsNewFlow(fc *flowContext, r *record) bool {
	return r.state == closed && !r.has(nonRepeatable) && isSYN(fc)
}

// isSYN reports whether the packet is a TCP SYN without ACK or RST.
func isSYN(fc *flowContext) bool {
	return fc.key.Protocol() == flow.TCP && fc.packet.Flags()&(packet.SYN|packet.ACK|packet.RST) == packet.SYN
}

// mayOpen reports whether the packet can be the first of its flow.
func mayOpen(fc *flowContext) bool {
	return fc.key.Protocol() == flow.UDP || isSYN(fc)
}

// takeOwnership makes this VM the owner of a flow and counts the flow at its target. The
// record may have been a copy until then.
func (s *shard) takeOwnership(r *record) {
	if r.isRefusal() {
		return
	}
	if !r.has(owned) {
		r.set(owned, true)
		s.node.count(result.TookOver)
	}
	if !r.has(counted) && r.state < closing {
		r.set(counted, true)
		s.node.options.Placer.AddFlow(r.target.ID())
	}
}

// markPlaced marks a flow as owned by this VM and already counted by the Placer.
func (s *shard) markPlaced(r *record) {
	r.set(owned|counted, true)
}

// removeLoad stops counting a flow as load of its target.
func (s *shard) removeLoad(r *record) {
	if r.has(counted) {
		r.set(counted, false)
		s.node.options.Placer.RemoveFlow(r.target.ID())
	}
}

// releaseOwnership marks a flow as served by another VM.
func (s *shard) releaseOwnership(r *record) {
	r.set(owned, false)
	s.removeLoad(r)
}

func (s *shard) deleteRecord(hash uint64, key *flow.Key, r *record) {
	s.releaseOwnership(r)
	s.flows.Delete(hash, key)
}

// forward sends the packet to the flow's target. The owner routes it through a holder that
// lacks a copy of the record, if there is one.
func (s *shard) forward(fc *flowContext, r *record) result.Code {
	if r.isRefusal() {
		if mayOpen(fc) {
			s.sendRefusal(fc)
		}
		return result.RefusedNoTarget
	}
	s.reportUnanswered(fc, r)
	wasOpening := r.state == opening
	r.observe(fc.now, fc.packet, fc.key.Protocol())
	s.reportAnswered(fc, r, wasOpening)
	if r.state >= closing {
		s.removeLoad(r)
	}
	r.set(forwarded, true)
	if s.owner(fc) == s.self() {
		if to := s.nextCopyHolder(fc, r); to != 0 {
			return s.forwardVia(fc, r, to)
		}
	}
	fc.packet.SetDestination(r.target.Endpoint())
	fc.sink.SendToFabric(fc.packet.Bytes())
	return result.Forwarded
}

// reportAnswered reports to the Placer that the target answered the SYN of a flow owned by
// this VM, which is evident from the client continuing. UDP flows have no such sign.
func (s *shard) reportAnswered(fc *flowContext, r *record, wasOpening bool) {
	if wasOpening && r.state == established && r.has(owned) && fc.key.Protocol() == flow.TCP {
		s.node.options.Placer.Observe(fc.now, r.target.ID(), placement.Answered)
	}
}

// reportUnanswered reports to the Placer that the target left a SYN unanswered.
func (s *shard) reportUnanswered(fc *flowContext, r *record) {
	if r.state == opening && r.has(forwarded) && isSYN(fc) {
		s.node.options.Placer.Observe(fc.now, r.target.ID(), placement.Unanswered)
		r.copies = 0
	}
}
