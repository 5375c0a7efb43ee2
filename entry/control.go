package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	// sampleInterval is the period at which metrics take values.
	sampleInterval = clock.Second
	// maxQueued bounds the messages that wait for the control goroutine.
	maxQueued = 4096
	// maxLists is the number of lists whose VMs can be addressed.
	maxLists = 5
)

// control is the goroutine that owns the membership and changes what is in force.
type control struct {
	daemon  *Daemon
	machine *member.Machine
	out     *outbox
	changes *queue[platform.Change]
	inbox   *queue[received]
	ranking *fleet.Ranking
	// view is the version of the membership that the core has.
	view    uint64
	sampled clock.Millis
	// lists are the list in force, last, and those before it.
	lists  []*fleet.List
	tables atomic.Uint64
	list   atomic.Uint64
	voting atomic.Bool
	// published is the view that the core has, for other goroutines.
	published atomic.Pointer[member.View]
	leave  chan struct{}
}

// received is a message of another daemon.
type received struct {
	from    fleet.ID
	message *member.Message
}

func newControl(d *Daemon, random *rand.Rand) *control {
	c := &control{
		daemon:  d,
		out:     newOutbox(d),
		changes: newQueue[platform.Change](maxQueued),
		inbox:   newQueue[received](maxQueued),
		leave:   make(chan struct{}),
	}
	c.machine = member.New(d.self, d.incarnation, d.started, random, c,
		member.WithBudget(d.budget), member.WithQuarantine(d.config.OpeningLifetime))
	return c
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leave := c.leave
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changes.ready:
		case <-c.inbox.ready:
		case <-leave:
			leave = nil
			c.machine.Leave(c.daemon.clock.Now())
		case outcome := <-c.daemon.health.runner.Outcomes():
			c.daemon.health.monitor.Probed(c.daemon.clock.Now(), outcome.ID(), outcome.Passed())
		case <-ticker.C:
			c.tick(ctx, c.daemon.clock.Now())
		}
		c.apply()
		c.out.flush()
	}
}

// apply takes what other goroutines queued.
func (c *control) apply() {
	now := c.daemon.clock.Now()
	for _, change := range c.changes.drain() {
		c.change(now, &change)
	}
	for _, r := range c.inbox.drain() {
		c.machine.Receive(now, r.from, r.message)
	}
	c.publish(now)
}

func (c *control) tick(ctx context.Context, now clock.Millis) {
	c.machine.Tick(now)
	c.publish(now)
	c.daemon.health.tick(ctx, now)
	c.daemon.node.Tick(now, c.out)
	if now-c.sampled >= sampleInterval {
		c.sampled = now
		c.daemon.sample()
	}
}

// publish hands the core what the membership believes and permits.
func (c *control) publish(now clock.Millis) {
	view := c.machine.View()
	if view.Version() != c.view && c.ranking != nil {
		c.view = view.Version()
		c.published.Store(view)
		c.daemon.node.SetPeers(now, c.peers(view))
		c.daemon.placer.SetFleet(now, placement.NewFleet(c.ranking.List(), c.daemon.self, view.Alive))
	}
	voting := c.machine.Voting(now)
	c.daemon.node.SetVoting(now, core.Voting{List: voting.List, Until: voting.Until})
	if may := voting.List != 0; c.voting.Swap(may) != may {
		c.daemon.trail.Add(operator.ChangedVoting, c.daemon.config.Name, strconv.FormatBool(!may), strconv.FormatBool(may), "membership")
	}
}

// peers tells the core which entry VMs are alive. VMs of earlier lists that are listed no
// more are gone.
func (c *control) peers(view *member.View) *core.Peers {
	addresses := *c.daemon.addresses.Load()
	peers := make([]core.Peer, 0, len(addresses))
	for id := range addresses {
		peers = append(peers, core.Peer{ID: id, Alive: view.Alive(id), Quarantined: view.Quarantined(id)})
	}
	return core.NewPeers(peers)
}

// change puts a version in force that the store has accepted.
func (c *control) change(now clock.Millis, change *platform.Change) {
	kind := operator.ChangedTables
	if tables := change.Tables(); tables != nil {
		// The placer comes first, so that it knows every route that the core asks about.
		c.daemon.placer.SetTables(now, tables)
		c.daemon.health.monitor.SetTables(now, tables)
		c.daemon.node.SetTables(now, tables)
		c.machine.SetVersions(now, []member.Version{{Name: platform.Tables, Number: tables.Version()}})
		c.tables.Store(tables.Version())
	}
	if list := change.List(); list != nil {
		kind = operator.ChangedList
		c.changeList(now, list)
	}
	c.daemon.trail.Add(kind, change.Name(), strconv.FormatUint(change.Before(), 10), strconv.FormatUint(change.After(), 10), change.Source())
}

// changeList puts a list in force. VMs of the lists before it can still be addressed.
func (c *control) changeList(now clock.Millis, list *fleet.List) {
	c.lists = append(c.lists, list)
	if len(c.lists) > maxLists {
		c.lists = c.lists[1:]
	}
	addresses := make(map[fleet.ID]*net.UDPAddr, list.Len())
	for _, l := range c.lists {
		for i := range l.VMs() {
			vm := &l.VMs()[i]
			addresses[vm.ID()] = net.UDPAddrFromAddrPort(vm.DataAddress())
		}
	}
	c.daemon.addresses.Store(&addresses)
	c.ranking = fleet.NewRanking(list, fleet.WithPrevious(c.ranking))
	c.daemon.health.monitor.SetList(now, list)
	c.machine.SetList(now, list)
	c.publish(now)
	c.daemon.node.SetList(now, c.ranking)
	c.list.Store(list.Version())
}
