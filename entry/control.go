package entry

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/platform"
	"github.com/almondflow/almondflow/table"
)

const (
	// sampleInterval is the period at which metrics take values.
	sampleInterval = clock.Second
	// maxQueued bounds the messages that wait for the control goroutine.
	maxQueued = 4096
	// maxLists is the number of lists whose VMs the core may remember.
	maxLists = 5
)

// control changes what is in force. Its fields belong to the control goroutine, which
// is that of the peers.Driver, except where they are atomic.
type control struct {
	daemon *Daemon
	out    *sink
	// changes are versions that the store accepted and that are not in force yet.
	changes *queue[platform.Change]
	ranking *fleet.Ranking
	// snapshot are the tables in force.
	snapshot *table.Snapshot
	// lists are the list in force, last, and those before it.
	lists []*fleet.List
	// asked are the peers named in retired, which the daemon learns of hosts from that
	// have left the tables.
	asked   map[fleet.ID]bool
	retired chan *fleet.VM
	// view is the version of the membership that the core has.
	view    uint64
	sampled clock.Millis
	tables  atomic.Uint64
	list    atomic.Uint64
	voting  atomic.Bool
	// published is the view that the core has, for other goroutines.
	published atomic.Pointer[member.View]
}

func newControl(d *Daemon) *control {
	return &control{
		daemon:  d,
		out:     d.newSink(),
		changes: newQueue[platform.Change](maxQueued),
		asked:   make(map[fleet.ID]bool),
		retired: make(chan *fleet.VM, retiredPeers),
	}
}

// follow puts versions in force as they come, until ctx ends.
func (c *control) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changes.ready:
		}
		for _, change := range c.changes.drain() {
			if list := change.List(); list != nil {
				c.daemon.driver.SetList(ctx, list)
			}
			c.daemon.driver.Do(ctx, func(now clock.Millis, m *member.Machine) {
				c.change(now, m, &change)
			})
		}
	}
}

// Ticked drives everything that depends on time. It implements peers.Observer.
func (c *control) Ticked(now clock.Millis, m *member.Machine) {
	c.publish(now, m)
	c.daemon.health.tick(now, m)
	c.daemon.node.Tick(now, c.out)
	c.out.Flush()
	if now-c.sampled >= sampleInterval {
		c.sampled = now
		c.daemon.sample()
		m.SetVersions(now, c.confirmed(now))
	}
}

// publish hands the core what the membership believes and permits.
func (c *control) publish(now clock.Millis, m *member.Machine) {
	view := m.View()
	if view.Version() != c.view && c.ranking != nil {
		c.view = view.Version()
		c.published.Store(view)
		c.daemon.node.SetPeers(now, c.peers(view))
		c.daemon.placer.SetFleet(now, placement.NewFleet(c.ranking.List(), c.daemon.self, view.Alive))
	}
	voting := m.Permission(now)
	c.daemon.node.SetVoting(now, core.Voting{List: voting.List, Settled: voting.Settled, Until: voting.Until})
	if may := voting.List != 0; c.voting.Swap(may) != may {
		c.daemon.trail.Add(operator.ChangedVoting, c.daemon.config.Name, strconv.FormatBool(!may), strconv.FormatBool(may), "membership")
	}
}

// peers tells the core which entry VMs are alive. VMs of earlier lists that are listed no
// more are gone.
func (c *control) peers(view *member.View) *core.Peers {
	var peers []core.Peer
	seen := make(map[fleet.ID]bool)
	for _, list := range c.lists {
		for i := range list.VMs() {
			id := list.VMs()[i].ID()
			if seen[id] {
				continue
			}
			seen[id] = true
			peers = append(peers, core.Peer{ID: id, Alive: view.Alive(id), Quarantined: view.Quarantined(id)})
		}
	}
	return core.NewPeers(peers)
}

// change puts a version in force that the store has accepted.
func (c *control) change(now clock.Millis, m *member.Machine, change *platform.Change) {
	kind := operator.ChangedTables
	if tables := change.Tables(); tables != nil {
		// The placer comes first, so that it knows every route that the core asks about.
		c.daemon.placer.SetTables(now, tables)
		c.daemon.health.monitor.SetTables(now, tables)
		c.daemon.node.SetTables(now, tables)
		m.SetVersions(now, []member.Version{{Name: platform.Tables, Number: tables.Version()}})
		c.tables.Store(tables.Version())
		recordMarks(c.daemon.trail, c.snapshot, tables)
		c.snapshot = tables
	}
	if list := change.List(); list != nil {
		kind = operator.ChangedList
		c.changeList(now, m, list)
	}
	c.daemon.trail.Add(kind, change.Name(), strconv.FormatUint(change.Before(), 10), strconv.FormatUint(change.After(), 10), change.Source())
}

// changeList puts a list in force.
func (c *control) changeList(now clock.Millis, m *member.Machine, list *fleet.List) {
	c.lists = append(c.lists, list)
	if len(c.lists) > maxLists {
		c.lists = c.lists[1:]
	}
	c.daemon.gateway.SetList(list)
	c.ranking = fleet.NewRanking(list, fleet.WithPrevious(c.ranking))
	c.daemon.health.monitor.SetList(now, list)
	c.publish(now, m)
	c.daemon.node.SetList(now, c.ranking)
	c.list.Store(list.Version())
}
