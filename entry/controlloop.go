package entry

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/control"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/table"
)

const (
	// sampleInterval is the time between two updates of the metrics.
	sampleInterval = clock.Second
	// maxQueued is the number of values that a queue between goroutines can hold.
	maxQueued = 4096
)

// controlLoop applies new tables, lists and membership changes to the daemon. It implements
// peers.Observer. Its fields are used only on the control goroutine, which the peers.Driver
// runs; other goroutines use the queue, the channel, the atomic fields and daemon.
type controlLoop struct {
	daemon *Daemon
	sink   *sink
	// changes are versions that the store has accepted and that are not applied yet.
	changes    *queue[published.Change]
	controller *control.Controller
	// tables are the current tables.
	tables *table.Snapshot
	// retiredQueued are the peers that were added to retiredPulls.
	retiredQueued map[fleet.ID]bool
	// retiredPulls are the peers to pull the retired hosts from: hosts that have left the
	// tables.
	retiredPulls chan *fleet.VM
	// lastSample is the time of the last update of the metrics.
	lastSample clock.Millis
	// tableVersion and listVersion are the current versions, or 0.
	tableVersion atomic.Uint64
	listVersion  atomic.Uint64
	// voting reports whether the daemon places non-repeatable flows.
	voting atomic.Bool
	// view is the membership view that the core was last given.
	view atomic.Pointer[member.View]
}

func newControlLoop(d *Daemon) *controlLoop {
	return &controlLoop{
		daemon:        d,
		sink:          d.newSink(),
		controller:    control.New(d.self, d.node, d.placer),
		changes:       newQueue[published.Change](maxQueued),
		retiredQueued: make(map[fleet.ID]bool),
		retiredPulls:  make(chan *fleet.VM, maxRetiredPulls),
	}
}

// applyChanges applies the versions that the store accepts until ctx is done.
func (c *controlLoop) applyChanges(ctx context.Context) {
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
				c.applyChange(now, m, &change)
			})
		}
	}
}

// AfterTick runs the periodic work of the daemon after a tick of the membership machine. It
// implements peers.Observer.
func (c *controlLoop) AfterTick(now clock.Millis, m *member.Machine) {
	c.daemon.health.tick(now, m)
	c.controller.Tick(now, m, c.sink)
	c.publishMembership(m)
	c.sink.Flush()
	if now-c.lastSample >= sampleInterval {
		c.lastSample = now
		c.daemon.reportMetrics()
		m.SetVersions(now, c.confirmedVersions(now))
	}
}

// publishMembership makes the membership view and the permission to vote available to
// other goroutines and records changes of the permission.
func (c *controlLoop) publishMembership(m *member.Machine) {
	c.view.Store(m.View())
	voting := c.controller.Permission().ListVersion != 0
	if c.voting.Swap(voting) != voting {
		c.daemon.trail.Add(operator.ChangedVoting, c.daemon.config.Name, strconv.FormatBool(!voting), strconv.FormatBool(voting), "membership")
	}
}

// applyChange applies a version that the store has accepted and records it in the audit
// trail.
func (c *controlLoop) applyChange(now clock.Millis, m *member.Machine, change *published.Change) {
	kind := operator.ChangedTables
	if tables := change.Tables(); tables != nil {
		c.daemon.health.monitor.SetTables(now, tables)
		c.controller.SetTables(now, tables)
		m.SetVersions(now, []member.Version{{Name: published.Tables, Number: tables.Version()}})
		c.tableVersion.Store(tables.Version())
		recordStateChanges(c.daemon.trail, c.tables, tables)
		c.tables = tables
	}
	if list := change.List(); list != nil {
		kind = operator.ChangedList
		c.applyList(now, m, list)
	}
	c.daemon.trail.Add(kind, change.Name(), strconv.FormatUint(change.PreviousVersion(), 10), strconv.FormatUint(change.Version(), 10), change.Source())
}

// applyList passes a new list of entry VMs to the parts of the daemon that use it.
func (c *controlLoop) applyList(now clock.Millis, m *member.Machine, list *fleet.List) {
	c.daemon.gateway.SetList(list)
	c.daemon.health.monitor.SetList(now, list)
	c.controller.SetList(now, m, list)
	c.publishMembership(m)
	c.listVersion.Store(list.Version())
}
