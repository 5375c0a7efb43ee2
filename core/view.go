package core

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/table"
)

// maxEpochs limits the member lists that are kept to look up records of earlier holders.
const maxEpochs = 32

// epoch is the current member list or an earlier one.
type epoch struct {
	ranking      *fleet.Ranking
	supersededAt clock.Millis // when a newer list replaced this one; 0 for the current one
	settledAt    clock.Millis // when this VM learned that no VM decides under this list any more, or 0
}

// PeerState is the state of another entry VM.
type PeerState struct {
	// ID identifies the VM.
	ID fleet.ID
	// Alive reports whether the VM is considered alive, so that packets may be sent to it.
	Alive bool
	// Quarantined reports whether the VM started too recently to vote.
	Quarantined bool
	// Incarnation identifies the run of the VM's process. A change means that the VM has
	// lost its records.
	Incarnation uint64
}

// PeerStates is an immutable set of the states of the entry VMs in the current member list. VMs
// that are missing from it have left the list and count as dead.
type PeerStates struct {
	byID map[fleet.ID]PeerState
}

// NewPeerStates returns a set of peer states. A later state of the same VM replaces an
// earlier one.
func NewPeerStates(peers []PeerState) *PeerStates {
	p := &PeerStates{byID: make(map[fleet.ID]PeerState, len(peers))}
	for _, peer := range peers {
		p.byID[peer.ID] = peer
	}
	return p
}

// find returns the state of a VM. Until the first states are known, all VMs count as alive.
func (p *PeerStates) find(id fleet.ID) PeerState {
	if p == nil {
		return PeerState{ID: id, Alive: true}
	}
	return p.byID[id]
}

// VotingLease is the permission to decide the targets of non-repeatable flows.
type VotingLease struct {
	// ListVersion is the version of the member list that the permission applies to.
	ListVersion uint64
	// SettledVersion is the version of the member list below which no entry VM decides any
	// more. Flows whose holders have changed since then cannot be decided yet.
	SettledVersion uint64
	// ExpiresAt is the time from which on the permission is no longer valid.
	ExpiresAt clock.Millis
}

// view is the immutable state that all shards read. It is replaced as a whole.
type view struct {
	tables         *table.Snapshot
	epochs         []epoch // newest first
	peers          *PeerStates
	votingLease    VotingLease
	uncertainSince clock.Millis // when this VM last lost contact with the others or lost its records
	minority       bool         // less than half of the serving VMs are considered alive
	minorityEnded  clock.Millis // when minority was last true, or 0
	paused         bool         // nothing received from peers since a pause of the process
	missedUntil    clock.Millis // until when VMs may have decided under lists unknown here, or 0 if none
	missedVersion  uint64       // version below which VMs may still decide under lists unknown here, or 0
}

// updateMinority determines whether this VM is on the minority side of a partition.
func (v *view) updateMinority(now clock.Millis, self fleet.ID) {
	if v.minority {
		v.minorityEnded = now
	}
	v.minority = false
	if v.peers == nil || len(v.epochs) == 0 {
		return
	}
	serving, alive := 0, 0
	for i := range v.list().VMs() {
		vm := &v.list().VMs()[i]
		if vm.State() != fleet.Serving {
			continue
		}
		serving++
		if v.alive(vm.ID(), self) {
			alive++
		}
	}
	v.minority = 2*alive < serving
}

// isMinority reports whether this VM is on the minority side of a partition, or was until
// so recently that it may still consider holders on the other side dead.
func (v *view) isMinority(now clock.Millis) bool {
	return v.minority || v.minorityEnded != 0 && now < v.minorityEnded+minorityGrace
}

func (v *view) ready() bool { return v.tables != nil && len(v.epochs) > 0 }

func (v *view) list() *fleet.List { return v.epochs[0].ranking.List() }

func (v *view) alive(id, self fleet.ID) bool {
	return id == self || v.peers.find(id).Alive
}

// goldenRatio is the fractional part of the golden ratio times 2^64. Multiplying by it
// spreads small numbers over 64 bits.
const goldenRatio = 0x9e3779b97f4a7c15

// holderSignature returns a value that changes when a holder changes, restarts or becomes
// alive again, after which records have to be copied again. Quarantine is included because
// it indicates a recent restart.
func (v *view) holderSignature(holders *fleet.Holders) uint32 {
	var s uint64
	for i := range holders.Len() {
		id := holders.At(i)
		peer := v.peers.find(id)
		if peer.Alive {
			s = s*31 + (uint64(id) ^ peer.Incarnation*goldenRatio)
		}
		if peer.Quarantined {
			s++
		}
	}
	return uint32(s ^ s>>32)
}

// epochAt returns the epoch that was current at a time, or the oldest known one if the time
// is before that.
func (v *view) epochAt(at clock.Millis) *epoch {
	for i := range len(v.epochs) - 1 {
		if at >= v.epochs[i+1].supersededAt {
			return &v.epochs[i]
		}
	}
	return &v.epochs[len(v.epochs)-1]
}

// recentEpochs returns the earlier epochs that were superseded less than span before now.
func (v *view) recentEpochs(now, span clock.Millis) []epoch {
	for i := 1; i < len(v.epochs); i++ {
		if now-v.epochs[i].supersededAt >= span {
			return v.epochs[1:i]
		}
	}
	return v.epochs[1:]
}

// decidableEpochs returns the earlier epochs under which a target may have been decided
// less than span before now. Other VMs may use a member list long after this VM has
// received a newer one.
func (v *view) decidableEpochs(now, span clock.Millis) []epoch {
	for i := 1; i < len(v.epochs); i++ {
		if settledAt := v.epochs[i].settledAt; settledAt != 0 && now-settledAt >= span {
			return v.epochs[1:i]
		}
	}
	return v.epochs[1:]
}

// markSettled records that no VM decides under member lists below a version any more.
func (v *view) markSettled(now clock.Millis, version uint64) {
	if v.missedVersion != 0 && version >= v.missedVersion {
		v.missedVersion = 0
		v.missedUntil = now
	}
	var updated []epoch
	for i, e := range v.epochs {
		if e.settledAt != 0 || e.ranking.List().Version() >= version {
			continue
		}
		if updated == nil {
			updated = slices.Clone(v.epochs)
		}
		updated[i].settledAt = now
	}
	if updated != nil {
		v.epochs = updated
	}
}

// markEpochsMissed records that this VM does not know all member lists below a version.
func (v *view) markEpochsMissed(now clock.Millis, version uint64) {
	v.missedUntil = now
	v.missedVersion = version
}
