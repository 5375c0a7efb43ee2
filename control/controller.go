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

// Placer is what a Controller needs of the placement.
type Placer interface {
	core.Placer
	SetTables(now clock.Millis, snapshot *table.Snapshot)
	SetFleet(now clock.Millis, f *placement.Fleet)
}

// Controller belongs to the control goroutine that drives the membership machine.
type Controller struct {
	self   fleet.ID
	node   *core.Node
	placer Placer
	rank   func(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking

	ranking    *fleet.Ranking
	seen       uint64 // version of the membership view that the node has
	paused     bool
	permission member.Permission
}

// Option changes how a Controller works.
type Option func(*Controller)

// WithRanking replaces the function that ranks a list, so that several Nodes in one
// process share the work.
func WithRanking(rank func(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking) Option {
	return func(c *Controller) { c.rank = rank }
}

// New returns a Controller of a Node and the Placer that it uses.
func New(self fleet.ID, node *core.Node, placer Placer, options ...Option) *Controller {
	c := &Controller{self: self, node: node, placer: placer}
	c.rank = func(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking {
		return fleet.NewRanking(list, fleet.WithPrevious(previous))
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Ranking returns the ranking in force, or nil.
func (c *Controller) Ranking() *fleet.Ranking { return c.ranking }

// Permission returns the permission to vote that the Node was last given.
func (c *Controller) Permission() member.Permission { return c.permission }

// Event takes what the membership machine reports. A daemon that was paused, or that
// others took for dead, can no longer be sure that flows it does not know are new.
func (c *Controller) Event(e member.Event) {
	if e.Kind == member.Refuted || e.Kind == member.Paused {
		c.node.Doubt(e.At)
	}
}

// SetTables puts tables in force. It reports false for a version that is not newer. The
// placer comes first, so that it knows every route that the core asks about.
func (c *Controller) SetTables(now clock.Millis, tables *table.Snapshot) bool {
	c.placer.SetTables(now, tables)
	return c.node.SetTables(now, tables)
}

// SetList puts a list in force that the membership machine has taken before. It reports
// false for a version that is not newer.
func (c *Controller) SetList(now clock.Millis, m *member.Machine, list *fleet.List) bool {
	if c.ranking != nil && list.Version() <= c.ranking.List().Version() {
		return false
	}
	c.ranking = c.rank(list, c.ranking)
	c.node.SetList(now, c.ranking)
	c.Refresh(now, m)
	return true
}

// Tick lets time pass after the membership machine's own Tick, every 100 ms.
func (c *Controller) Tick(now clock.Millis, m *member.Machine, sink core.Sink) {
	c.Refresh(now, m)
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

// Refresh passes on what the membership machine found out.
func (c *Controller) Refresh(now clock.Millis, m *member.Machine) {
	if paused := m.PausedUntilHeard(); paused != c.paused {
		c.paused = paused
		c.node.SetPaused(now, paused)
	}
	c.permission = m.Permission(now)
	c.node.SetVoting(now, core.Voting{
		List: c.permission.List, Settled: c.permission.Settled, Until: c.permission.Until,
	})
	view := m.View()
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
