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

// Defaults of the options.
const (
	defaultShards          = 16
	defaultFlows           = 1_000_000
	defaultOpeningLifetime = 120 * clock.Second
	defaultPauseGap        = 1 * clock.Second
	maxCode                = 256
)

// Node is one entry VM's decisions. FromFabric and FromPeer may be called by several
// workers at once. The setters and Tick belong to one control goroutine.
//
// Lock order: control, then one shard. No two shards are locked at once, and the Placer
// is called with a shard locked.
type Node struct {
	options Options
	control sync.Mutex
	view    atomic.Pointer[view]
	shards  []shard
	codes   [maxCode]atomic.Uint64
	ticked  atomic.Int64
	packets sync.Pool // of *packet.Packet, so that a packet costs no allocation
}

// New returns a Node that drops everything until it has tables and a list.
func New(options Options) *Node {
	if options.Shards <= 0 {
		options.Shards = defaultShards
	}
	if options.Flows <= 0 {
		options.Flows = defaultFlows
	}
	if options.OpeningLifetime <= 0 {
		options.OpeningLifetime = defaultOpeningLifetime
	}
	if options.PauseGap <= 0 {
		options.PauseGap = defaultPauseGap
	}
	if options.Copies <= 0 {
		options.Copies = fleet.HolderCount - 1
	}
	n := &Node{options: options, shards: make([]shard, options.Shards)}
	n.packets.New = func() any { return new(packet.Packet) }
	n.ticked.Store(int64(options.Started))
	for i := range n.shards {
		n.shards[i].init(n)
	}
	n.view.Store(&view{unsureSince: options.Started})
	return n
}

// change swaps the view for a changed copy of it.
func (n *Node) change(edit func(v *view)) {
	n.control.Lock()
	defer n.control.Unlock()
	changed := *n.view.Load()
	edit(&changed)
	n.view.Store(&changed)
}

// SetTables puts tables in force. Versions only rise: it reports false and changes
// nothing for a version that is not above the one in force. The same tables may come
// again with more hosts that have left them.
func (n *Node) SetTables(_ clock.Millis, tables *table.Snapshot) bool {
	accepted := false
	n.change(func(v *view) {
		newer := v.tables == nil || tables.Version() > v.tables.Version() || tables.Digest() == v.tables.Digest()
		if newer || n.options.Breakage == BreakVersions {
			v.tables = tables
			accepted = true
		}
	})
	return accepted
}

// SetList puts a ranked list in force, with the same rule of versions as SetTables.
func (n *Node) SetList(now clock.Millis, ranking *fleet.Ranking) bool {
	accepted := false
	n.change(func(v *view) {
		if len(v.epochs) > 0 && ranking.List().Version() <= v.list().Version() {
			return
		}
		accepted = true
		if len(v.epochs) > 0 && ranking.List().Version() != v.list().Version()+1 {
			v.lose(now, ranking.List().Version())
		}
		v.pushEpoch(now, ranking)
		v.judge(now, n.options.Self)
	})
	return accepted
}

func (v *view) pushEpoch(now clock.Millis, ranking *fleet.Ranking) {
	epochs := make([]epoch, 0, maxEpochs+1)
	epochs = append(epochs, epoch{ranking: ranking})
	for _, e := range v.epochs {
		if e.superseded == 0 {
			e.superseded = now
			e.ranking = e.ranking.Earlier()
		}
		epochs = append(epochs, e)
	}
	if len(epochs) > maxEpochs {
		epochs = epochs[:maxEpochs]
		v.lose(now, ranking.List().Version())
	}
	v.epochs = epochs
}

// SetPeers replaces the picture of the other entry VMs.
func (n *Node) SetPeers(now clock.Millis, peers *Peers) {
	n.change(func(v *view) {
		v.peers = peers
		v.judge(now, n.options.Self)
	})
}

// SetVoting replaces the permission to decide flows that may not be repeated.
func (n *Node) SetVoting(now clock.Millis, voting Voting) {
	n.change(func(v *view) {
		v.voting = voting
		v.noteSettled(now, voting.Settled)
	})
}

// Doubt tells the Node that others took it for dead, so that flows it would place anew
// may have been placed elsewhere. It asks the other holders first for a while.
func (n *Node) Doubt(now clock.Millis) {
	n.change(func(v *view) { v.unsureSince = now })
}

// SetPaused tells the Node that the process was paused and has not heard its peers since.
// Until it has, known flows are served and no new one is placed.
func (n *Node) SetPaused(_ clock.Millis, paused bool) {
	n.change(func(v *view) { v.paused = paused })
}

// isPaused also notices a pause that the control goroutine has not come to report.
func (n *Node) isPaused(now clock.Millis, v *view) bool {
	return v.paused || now-clock.Millis(n.ticked.Load()) > n.options.PauseGap
}

// Tick expires and repairs. It is called every 100 ms or so; a longer gap than the
// option PauseGap counts as a pause of the process, after which nothing is taken for
// granted.
func (n *Node) Tick(now clock.Millis, sink Sink) {
	if now-clock.Millis(n.ticked.Load()) > n.options.PauseGap {
		n.Doubt(now)
	}
	n.ticked.Store(int64(now))
	v := n.view.Load()
	if !v.ready() {
		return
	}
	for i := range n.shards {
		n.shards[i].tick(now, v, sink)
	}
}

// FromFabric handles an inner packet that the fabric handed to this entry VM. It may
// change the packet's bytes.
func (n *Node) FromFabric(now clock.Millis, inner []byte, sink Sink) result.Code {
	p := n.packets.Get().(*packet.Packet)
	defer n.packets.Put(p)
	if err := p.Parse(inner); err != nil {
		return n.count(codeOf(err))
	}
	v := n.view.Load()
	if !v.ready() {
		return n.count(result.DroppedNoRoute)
	}
	return n.count(n.ingress(now, v, p, sink))
}

func (n *Node) count(code result.Code) result.Code {
	n.codes[code%maxCode].Add(1)
	return code
}

func (n *Node) shardOf(hash uint64) *shard {
	return &n.shards[(hash>>48)%uint64(len(n.shards))]
}
