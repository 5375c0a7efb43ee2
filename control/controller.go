// Package control updates the core and the placement when the state of the fleet changes: it
// passes on new tables, lists, the membership and the permission to vote. Like both of them
// it is deterministic, so that the daemon and the fault tests run the same code.
package control

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/table"
)

// Placer is the interface of the placement that a Controller uses.
type Placer interface {
	core.Placer
	SetTables(now clock.Millis, snapshot *table.Snapshot)
	SetFleet(now clock.Millis, f *placement.FleetShares)
}

// Controller passes changes of the fleet on to a core.Node and its Placer. It must be used
// only on the control goroutine, which runs the membership machine.
type Controller struct {
	self   fleet.ID
	node   *core.Node
	placer Placer
	rank   func(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking

	ranking     *fleet.Ranking
	viewVersion uint64 // version of the membership view that the node has
	paused      bool
	permission  member.Permission
}

// Option configures a Controller.
type Option func(*Controller)

// WithRanking replaces the function that ranks a list, so that several Nodes in one process
// can share a ranking.
func WithRanking(rank func(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking) Option {
	return func(c *Controller) { c.rank = rank }
}

// New returns a Controller for the Node of the entry VM self and the Placer of that Node.
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

// Ranking returns the ranking of the current list, or nil before the first list.
func (c *Controller) Ranking() *fleet.Ranking { return c.ranking }

// Permission returns the permission to vote that was last passed to the Node.
func (c *Controller) Permission() member.Permission { return c.permission }

// HandleEvent handles an event of the membership machine. After the daemon was paused or
// wrongly suspected, it marks the Node as uncertain: flows that the Node doesn't know may have
// been placed by another VM meanwhile.
func (c *Controller) HandleEvent(e member.Event) {
	if e.Kind == member.Refuted || e.Kind == member.Paused {
		c.node.MarkUncertain(e.At)
	}
}

// SetTables passes a version of the tables to the Placer and the Node. It returns false if the
// Node keeps its current tables, because the version is neither newer nor has their digest.
// The Placer is updated first, so that it knows every route that the Node uses.
func (c *Controller) SetTables(now clock.Millis, tables *table.Snapshot) bool {
	c.placer.SetTables(now, tables)
	return c.node.SetTables(now, tables)
}

// SetList ranks a list and passes it to the Node. The membership machine must already have
// the list. It returns false if the version isn't newer than the current one.
func (c *Controller) SetList(now clock.Millis, m *member.Machine, list *fleet.List) bool {
	if c.ranking != nil && list.Version() <= c.ranking.List().Version() {
		return false
	}
	c.ranking = c.rank(list, c.ranking)
	c.node.SetRanking(now, c.ranking)
	c.refresh(now, m)
	return true
}

// Tick updates the Node, runs its periodic work and hands flows over if this VM is leaving.
// It is called every 100 ms, after the Tick of the membership machine.
func (c *Controller) Tick(now clock.Millis, m *member.Machine, sink core.Sink) {
	c.refresh(now, m)
	c.node.Tick(now, sink)
	if c.isLeaving() {
		c.node.HandOver(now, sink, nil)
	}
}

// isLeaving reports whether this VM is marked as leaving in the current list.
func (c *Controller) isLeaving() bool {
	if c.ranking == nil {
		return false
	}
	vm, listed := c.ranking.List().Find(c.self)
	return listed && vm.State() == fleet.Leaving
}

// refresh passes the membership and the permission to vote on to the Node and the Placer.
func (c *Controller) refresh(now clock.Millis, m *member.Machine) {
	if paused := m.Paused(); paused != c.paused {
		c.paused = paused
		c.node.SetPaused(now, paused)
	}
	c.permission = m.Permission(now)
	c.node.SetVotingLease(now, core.VotingLease{
		ListVersion:    c.permission.ListVersion,
		SettledVersion: c.permission.SettledVersion,
		ExpiresAt:      c.permission.ExpiresAt,
	})
	view := m.View()
	if c.ranking == nil || view.Version() == c.viewVersion {
		return
	}
	c.viewVersion = view.Version()
	list := c.ranking.List()
	c.node.SetPeerStates(now, peerStates(list, view))
	c.placer.SetFleet(now, placement.NewFleetShares(list, c.self, view.Alive))
}

// peerStates returns the membership states of all VMs of a list for the core.
func peerStates(list *fleet.List, view *member.View) *core.PeerStates {
	vms := list.VMs()
	peers := make([]core.PeerState, 0, len(vms))
	for i := range vms {
		id := vms[i].ID()
		peers = append(peers, core.PeerState{ID: id, Alive: view.Alive(id), Quarantined: view.Quarantined(id)})
	}
	return core.NewPeerStates(peers)
}
