package core

import (
	"sync"
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/table"
)

// Defaults of Options, and the number of result codes that are counted.
const (
	defaultShards          = 16
	defaultMaxFlows        = 1_000_000
	defaultOpeningLifetime = 120 * clock.Second
	defaultMaxTickGap      = 1 * clock.Second
	codeSlots              = 256
)

// Node makes the forwarding decisions of one entry VM. ReceiveFromFabric and ReceiveFromPeer
// are safe for concurrent use. The setters and Tick must be called from a single control
// goroutine.
//
// Lock order: controlMutex, then one shard. Two shards are never locked at once. The
// Placer is called with a shard locked.
type Node struct {
	options      Options
	controlMutex sync.Mutex
	view         atomic.Pointer[view]
	shards       []shard
	codeCounts   [codeSlots]atomic.Uint64
	lastTick     atomic.Int64
	packetPool   sync.Pool // of *packet.Packet, avoids an allocation per packet
}

// New returns a Node, which drops all packets until it has tables and a member list.
func New(options Options) *Node {
	if options.Shards <= 0 {
		options.Shards = defaultShards
	}
	if options.MaxFlows <= 0 {
		options.MaxFlows = defaultMaxFlows
	}
	if options.OpeningLifetime <= 0 {
		options.OpeningLifetime = defaultOpeningLifetime
	}
	if options.MaxTickGap <= 0 {
		options.MaxTickGap = defaultMaxTickGap
	}
	if options.Copies <= 0 {
		options.Copies = fleet.HolderCount - 1
	}
	n := &Node{options: options, shards: make([]shard, options.Shards)}
	n.packetPool.New = func() any { return new(packet.Packet) }
	n.lastTick.Store(int64(options.StartTime))
	for i := range n.shards {
		n.shards[i].init(n)
	}
	n.view.Store(&view{uncertainSince: options.StartTime})
	return n
}

// updateView replaces the current view by an updated copy.
func (n *Node) updateView(update func(v *view)) {
	n.controlMutex.Lock()
	defer n.controlMutex.Unlock()
	updated := *n.view.Load()
	update(&updated)
	n.view.Store(&updated)
}

// SetTables replaces the routing tables. It reports false and changes nothing unless the
// version is higher than the current one. Tables with the same digest are accepted again,
// because they may list further hosts that have left.
func (n *Node) SetTables(_ clock.Millis, tables *table.Snapshot) bool {
	accepted := false
	n.updateView(func(v *view) {
		newer := v.tables == nil || tables.Version() > v.tables.Version() || tables.Digest() == v.tables.Digest()
		if newer || n.options.Defect == DefectOldVersions {
			v.tables = tables
			accepted = true
		}
	})
	return accepted
}

// SetRanking replaces the ranked member list. It reports false and changes nothing unless the
// version is higher than the current one.
func (n *Node) SetRanking(now clock.Millis, ranking *fleet.Ranking) bool {
	accepted := false
	n.updateView(func(v *view) {
		if len(v.epochs) > 0 && ranking.List().Version() <= v.list().Version() {
			return
		}
		accepted = true
		if len(v.epochs) > 0 && ranking.List().Version() != v.list().Version()+1 {
			v.markEpochsMissed(now, ranking.List().Version())
		}
		v.pushEpoch(now, ranking)
		v.updateMinority(now, n.options.Self)
	})
	return accepted
}

// pushEpoch adds a member list as the current epoch and drops the oldest ones beyond
// maxEpochs.
func (v *view) pushEpoch(now clock.Millis, ranking *fleet.Ranking) {
	epochs := make([]epoch, 0, maxEpochs+1)
	epochs = append(epochs, epoch{ranking: ranking})
	for _, e := range v.epochs {
		if e.supersededAt == 0 {
			e.supersededAt = now
			e.ranking = e.ranking.WithoutVMs()
		}
		epochs = append(epochs, e)
	}
	if len(epochs) > maxEpochs {
		epochs = epochs[:maxEpochs]
		v.markEpochsMissed(now, ranking.List().Version())
	}
	v.epochs = epochs
}

// SetPeerStates replaces the states of the other entry VMs.
func (n *Node) SetPeerStates(now clock.Millis, peers *PeerStates) {
	n.updateView(func(v *view) {
		v.peers = peers
		v.updateMinority(now, n.options.Self)
	})
}

// SetVotingLease replaces the permission to decide the targets of non-repeatable flows.
func (n *Node) SetVotingLease(now clock.Millis, lease VotingLease) {
	n.updateView(func(v *view) {
		v.votingLease = lease
		v.markSettled(now, lease.SettledVersion)
	})
}

// MarkUncertain records that other VMs considered this one dead and may have placed flows in its
// place. For a while, the Node therefore asks the other holders before it places a flow.
func (n *Node) MarkUncertain(now clock.Millis) {
	n.updateView(func(v *view) { v.uncertainSince = now })
}

// SetPaused sets whether the process was paused and has not received anything from its
// peers since. While it is set, known flows are served and no new ones are placed.
func (n *Node) SetPaused(_ clock.Millis, paused bool) {
	n.updateView(func(v *view) { v.paused = paused })
}

// isPaused reports whether the process is or was paused. It also detects a pause that the
// control goroutine has not reported yet.
func (n *Node) isPaused(now clock.Millis, v *view) bool {
	return v.paused || now-clock.Millis(n.lastTick.Load()) > n.options.MaxTickGap
}

// Tick expires idle records and repairs missing copies. It should be called about every
// 100 ms. A gap longer than Options.MaxTickGap counts as a pause of the process, after which
// other VMs may have placed flows in this one's place.
func (n *Node) Tick(now clock.Millis, sink Sink) {
	if now-clock.Millis(n.lastTick.Load()) > n.options.MaxTickGap {
		n.MarkUncertain(now)
	}
	n.lastTick.Store(int64(now))
	v := n.view.Load()
	if !v.ready() {
		return
	}
	for i := range n.shards {
		n.shards[i].tick(now, v, sink)
	}
}

// ReceiveFromFabric handles an inner packet that the fabric delivered to this entry VM. It may
// modify the packet in place.
func (n *Node) ReceiveFromFabric(now clock.Millis, inner []byte, sink Sink) result.Code {
	p := n.packetPool.Get().(*packet.Packet)
	defer n.packetPool.Put(p)
	if err := p.Parse(inner); err != nil {
		return n.count(codeOf(err))
	}
	v := n.view.Load()
	if !v.ready() {
		return n.count(result.DroppedNoRoute)
	}
	return n.count(n.dispatch(now, v, p, sink))
}

// count counts a packet that ended with a result code, and returns the code.
func (n *Node) count(code result.Code) result.Code {
	n.codeCounts[code%codeSlots].Add(1)
	return code
}

func (n *Node) shardOf(hash uint64) *shard {
	return &n.shards[(hash>>48)%uint64(len(n.shards))]
}
