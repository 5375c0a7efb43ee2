package table

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// Preference selects whether a pool favors stable flows or balanced load where the two
// conflict.
type Preference uint8

// Preferences of a pool.
const (
	// PreferFlows places flows so that few of them move when VMs lose their flow records.
	PreferFlows Preference = iota + 1
	// PreferBalance places flows on the least loaded host.
	PreferBalance
)

// String returns the name of the preference in the tables.
func (p Preference) String() string {
	if p == PreferBalance {
		return "balance"
	}
	return "flows"
}

// Pool is a named set of hosts.
type Pool struct {
	name        string
	preference  Preference
	allowsSpill bool
	slowStart   clock.Millis
	hosts       []Host
	// destination and protocol are those of the routes to the pool, zero if there are none.
	destination flow.Endpoint
	protocol    flow.Protocol
	digest      digest
}

// Name returns the name that routes refer to.
func (p *Pool) Name() string { return p.name }

// Preference returns whether the pool favors stable flows or balanced load.
func (p *Pool) Preference() Preference { return p.preference }

// AllowsSpill reports whether flows may go to another failure domain if their own has no usable
// host.
func (p *Pool) AllowsSpill() bool { return p.allowsSpill }

// SlowStart returns the time in which a joining host reaches its full share of flows.
func (p *Pool) SlowStart() clock.Millis { return p.slowStart }

// Hosts returns the hosts sorted by name. Callers must not change them.
func (p *Pool) Hosts() []Host { return p.hosts }

// hasSameAttributes reports whether two pools have the same attributes, apart from their
// names and hosts.
func (p *Pool) hasSameAttributes(q *Pool) bool {
	return p.preference == q.preference && p.allowsSpill == q.allowsSpill && p.slowStart == q.slowStart
}
