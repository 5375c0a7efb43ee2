package core

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/table"
)

// maxEpochs bounds the earlier lists whose holders are still asked.
const maxEpochs = 32

// epoch is a list that is or was in force.
type epoch struct {
	ranking    *fleet.Ranking
	superseded clock.Millis // point at which a newer list came; 0 for the current one
	settled    clock.Millis // from when on nobody was known to decide under it, or 0
}

// Peer is what is known of another entry VM.
type Peer struct {
	// ID names the VM.
	ID fleet.ID
	// Alive is false while the VM is suspected.
	Alive bool
	// Quarantined VMs started too recently to vote.
	Quarantined bool
	// Incarnation is the number of the run of the VM's process. A change means that the
	// VM has lost its records.
	Incarnation uint64
}

// Peers is an immutable picture of the entry VMs of the list in force. A VM that is not in
// it has left the list and counts as gone.
type Peers struct {
	byID map[fleet.ID]Peer
}

// NewPeers builds a picture.
func NewPeers(peers []Peer) *Peers {
	p := &Peers{byID: make(map[fleet.ID]Peer, len(peers))}
	for _, peer := range peers {
		p.byID[peer.ID] = peer
	}
	return p
}

// find returns what is known of a VM. Before anything is known, all count as alive.
func (p *Peers) find(id fleet.ID) Peer {
	if p == nil {
		return Peer{ID: id, Alive: true}
	}
	return p.byID[id]
}

// Voting is the permission to decide the targets of flows that may not be repeated.
type Voting struct {
	// List is the version of the list the permission is for.
	List uint64
	// Settled is the version below which no entry VM decides any more. Flows whose
	// holders changed since then have to wait.
	Settled uint64
	// Until is the point from which on the permission has run out.
	Until clock.Millis
}

// view is what all shards read. It is immutable and swapped whole.
type view struct {
	tables      *table.Snapshot
	epochs      []epoch // newest first
	peers       *Peers
	voting      Voting
	unsureSince clock.Millis // when this VM last lost sight of the others or its records
	minority    bool         // less than half of the serving VMs are believed alive
	recovered   clock.Millis // when that last ended, or 0
	paused      bool         // no peer was heard since a pause of the process
	epochsLost  clock.Millis // when nobody decided any more under a list not known here, or 0
	unsettled   uint64       // version of the list up to which others may still do so, or 0
}

// judge updates what follows from the list and the picture of the VMs at a point in time.
func (v *view) judge(now clock.Millis, self fleet.ID) {
	if v.minority {
		v.recovered = now
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

// isCutOff reports whether this VM is on the smaller side of a partition, or was until so
// recently that it may still take holders on the other side for dead.
func (v *view) isCutOff(now clock.Millis) bool {
	return v.minority || v.recovered != 0 && now < v.recovered+recoverySpan
}

func (v *view) ready() bool { return v.tables != nil && len(v.epochs) > 0 }

func (v *view) list() *fleet.List { return v.epochs[0].ranking.List() }

func (v *view) alive(id, self fleet.ID) bool {
	return id == self || v.peers.find(id).Alive
}

// goldenRatio spreads small numbers over 64 bits (the fraction of the golden ratio).
const goldenRatio = 0x9e3779b97f4a7c15

// signature changes when a holder changes, restarts or comes back, which is when records
// have to be copied again. A holder in quarantine has restarted of late.
func (v *view) signature(holders *fleet.Holders) uint32 {
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

// epochAt returns the list that was in force at a point in time, or the oldest known.
func (v *view) epochAt(at clock.Millis) *epoch {
	for i := range len(v.epochs) - 1 {
		if at >= v.epochs[i+1].superseded {
			return &v.epochs[i]
		}
	}
	return &v.epochs[len(v.epochs)-1]
}

// recent returns the earlier epochs that ended less than span before now.
func (v *view) recent(now, span clock.Millis) []epoch {
	for i := 1; i < len(v.epochs); i++ {
		if now-v.epochs[i].superseded >= span {
			return v.epochs[1:i]
		}
	}
	return v.epochs[1:]
}

// decidable returns the earlier epochs under which a target may have been decided less
// than span ago. Other VMs may act on a list for long after this one got a newer one.
func (v *view) decidable(now, span clock.Millis) []epoch {
	for i := 1; i < len(v.epochs); i++ {
		if settled := v.epochs[i].settled; settled != 0 && now-settled >= span {
			return v.epochs[1:i]
		}
	}
	return v.epochs[1:]
}

// noteSettled notes that nobody decides under lists below a version any more.
func (v *view) noteSettled(now clock.Millis, version uint64) {
	if v.unsettled != 0 && version >= v.unsettled {
		v.unsettled = 0
		v.epochsLost = now
	}
	var changed []epoch
	for i, e := range v.epochs {
		if e.settled != 0 || e.ranking.List().Version() >= version {
			continue
		}
		if changed == nil {
			changed = slices.Clone(v.epochs)
		}
		changed[i].settled = now
	}
	if changed != nil {
		v.epochs = changed
	}
}

// lose notes that earlier lists are not known here.
func (v *view) lose(now clock.Millis, version uint64) {
	v.epochsLost = now
	v.unsettled = version
}
