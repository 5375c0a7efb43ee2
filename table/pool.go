package table

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// Preference says what weighs more in a pool where the two conflict.
type Preference uint8

// Preferences of a pool.
const (
	// PreferFlows places so that few flows move when holders lose their records.
	PreferFlows Preference = iota + 1
	// PreferBalance places on the least loaded host.
	PreferBalance
)

// String returns the name used in the tables.
func (p Preference) String() string {
	if p == PreferBalance {
		return "balance"
	}
	return "flows"
}

// Pool is a named set of hosts.
type Pool struct {
	name      string
	prefer    Preference
	spill     bool
	slowStart clock.Millis
	hosts     []Host
	// destination and protocol are those of the routes that the pool serves, zero when
	// there are none.
	destination flow.Endpoint
	protocol    flow.Protocol
	digest      digest
}

// Name returns the name that routes refer to.
func (p *Pool) Name() string { return p.name }

// Prefer returns what weighs more where flows and balance conflict.
func (p *Pool) Prefer() Preference { return p.prefer }

// Spill reports whether flows may go to another failure domain when their own has no
// usable host.
func (p *Pool) Spill() bool { return p.spill }

// SlowStart returns the span over which a joining host reaches its full share.
func (p *Pool) SlowStart() clock.Millis { return p.slowStart }

// Hosts returns the hosts sorted by name. Callers must not change them.
func (p *Pool) Hosts() []Host { return p.hosts }

func (p *Pool) hasAttributesOf(q *Pool) bool {
	return p.prefer == q.prefer && p.spill == q.spill && p.slowStart == q.slowStart
}
