// Package control keeps the decisions about packets in step with what is known of the
// fleet: it passes tables, lists, membership and the permission to vote on to the core
// and the placement. Like them it is deterministic, so that the daemon and the tests of
// failures drive the same code.
package control

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/table"
)

// Placer is what the controller needs of the placement.
type Placer interface {
	core.Placer
	SetTables(now clock.Millis, snapshot *table.Snapshot)
	SetFleet(now clock.Millis, f *placement.Fleet)
}

// Controller belongs to one control goroutine.
type Controller struct {
	self    fleet.ID
	node    *core.Node
	placer  Placer
	outer   member.Sink
	machine *member.Machine
	options options

	ranking *fleet.Ranking
	seen    uint64 // version of the membership view that the node has
	paused  bool
}

type options struct {
	rank func(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking
}

// Option changes how a Controller works.
type Option func(*options)

// WithRanking replaces the function that ranks a list, so that several Nodes in one
// process share the work.
func WithRanking(rank func(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking) Option {
	return func(o *options) { o.rank = rank }
}

// New returns a Controller. The membership machine is created with the Controller as its
// sink and attached afterwards; what the machine puts out is passed on to outer.
func New(self fleet.ID, node *core.Node, placer Placer, outer member.Sink, settings ...Option) *Controller {
	c := &Controller{self: self, node: node, placer: placer, outer: outer}
	c.options.rank = func(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking {
		return fleet.NewRanking(list, fleet.WithPrevious(previous))
	}
	for _, option := range settings {
		option(&c.options)
	}
	return c
}

// Attach sets the membership machine.
func (c *Controller) Attach(machine *member.Machine) { c.machine = machine }

// Machine returns the membership machine.
func (c *Controller) Machine() *member.Machine { return c.machine }

// Ranking returns the ranking in force, or nil.
func (c *Controller) Ranking() *fleet.Ranking { return c.ranking }

// Send implements member.Sink.
func (c *Controller) Send(to fleet.ID, m *member.Message) { c.outer.Send(to, m) }

// Event implements member.Sink. A daemon that was paused, or that others took for dead,
// can no longer be sure that flows it does not know are new.
func (c *Controller) Event(e member.Event) {
	switch e.Kind {
	case member.Refuted, member.Paused:
		c.node.Doubt(e.At)
	default:
	}
	c.outer.Event(e)
}

// SetTables puts tables in force. It reports false for a version that is not newer.
func (c *Controller) SetTables(now clock.Millis, name string, tables *table.Snapshot) bool {
	if !c.node.SetTables(now, tables) {
		return false
	}
	c.placer.SetTables(now, tables)
	c.machine.SetVersions(now, []member.Version{{Name: name, Number: tables.Version()}})
	return true
}

// SetList puts a list in force. It reports false for a version that is not newer.
func (c *Controller) SetList(now clock.Millis, list *fleet.List) bool {
	if c.ranking != nil && list.Version() <= c.ranking.List().Version() {
		return false
	}
	c.ranking = c.options.rank(list, c.ranking)
	c.machine.SetList(now, list)
	c.node.SetList(now, c.ranking)
	c.refresh(now)
	return true
}

// Tick lets time pass. It is called every 100 ms.
func (c *Controller) Tick(now clock.Millis, sink core.Sink) {
	c.machine.Tick(now)
	c.refresh(now)
	c.node.Tick(now, sink)
	if c.isLeaving() {
		c.node.HandOver(now, sink, nil)
	}
}

func (c *Controller) isLeaving() bool {
	if c.ranking == nil {
		return false
	}
	vm, listed := c.ranking.List().Find(c.self)
	return listed && vm.State() == fleet.Leaving
}

// refresh passes on what the membership machine found out.
func (c *Controller) refresh(now clock.Millis) {
	if paused := c.machine.PausedUntilHeard(); paused != c.paused {
		c.paused = paused
		c.node.SetPaused(now, paused)
	}
	permission := c.machine.Permission(now)
	c.node.SetVoting(now, core.Voting{List: permission.List, Settled: permission.Settled, Until: permission.Until})
	view := c.machine.View()
	if c.ranking == nil || view.Version() == c.seen {
		return
	}
	c.seen = view.Version()
	list := c.ranking.List()
	c.node.SetPeers(now, peersOf(list, view))
	c.placer.SetFleet(now, placement.NewFleet(list, c.self, view.Alive))
}

func peersOf(list *fleet.List, view *member.View) *core.Peers {
	vms := list.VMs()
	peers := make([]core.Peer, 0, len(vms))
	for i := range vms {
		id := vms[i].ID()
		peers = append(peers, core.Peer{ID: id, Alive: view.Alive(id), Quarantined: view.Quarantined(id)})
	}
	return core.NewPeers(peers)
}
