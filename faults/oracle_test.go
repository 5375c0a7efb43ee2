package faults

import (
	"fmt"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

// leavingSpan is how long after the publication of a mark a leaving target may still get
// new flows.
const leavingSpan = 3 * clock.Second

// oracle holds what must always hold, and counts.
type oracle struct {
	world           *world
	violations      []string
	offeredHolds    int
	refusedHolds    int
	unansweredHolds int
	openFlows       int // repeatable flows that opened
	watching        bool
	watchedFlows    int
	openAtFault     int
	brokenFlows     int
	lostFlows       int
	doubleRuns      int
	falseRefusals   int
	misrouted       int
	lateFlows       int // new flows of a target after it left
	failedOpenings  int
	converged       clock.Millis
	everywhere      uint64 // newest version of the tables that all VMs had in force
	exact           bool   // late flows are told by who placed them alone
	steady          bool   // nothing but planned changes and crashes happens
}

func (o *oracle) violate(format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	o.violations = append(o.violations, fmt.Sprintf("%d ", o.world.now)+line)
	o.world.tracef("VIOLATION %s", line)
}

func (o *oracle) offered(c *client) {
	if c.kind == hold {
		o.offeredHolds++
	}
}

func (o *oracle) opened(c *client) {
	if c.kind != hold {
		o.openFlows++
	}
}

// watch begins the count of broken flows. A flow counts from its second answer on.
func (o *oracle) watch() {
	o.watching = true
	for _, c := range o.world.clients {
		if c.state == open {
			o.answered(c)
		}
	}
	o.openAtFault = o.watchedFlows
}

func (o *oracle) answered(c *client) {
	if o.watching && !c.watched && c.answers >= 2 {
		c.watched = true
		o.watchedFlows++
	}
}

func (o *oracle) ended(c *client) {
	switch c.state {
	case broken:
		if c.watched {
			o.brokenFlows++
		}
	case lostTarget:
		o.lostFlows++
	case refusedState:
		o.refusal(c)
	case unanswered:
		if c.kind == hold {
			o.unansweredHolds++
		} else {
			o.failedOpenings++
		}
	case waiting, open, finished, shed:
	}
}

func (o *oracle) refusal(c *client) {
	if c.kind == hold {
		o.refusedHolds++
	}
	if c.ran {
		o.falseRefusals++
		o.violate("%s was refused but ran", c.key.String())
	}
}

// delivered checks a packet that reached a target.
func (o *oracle) delivered(from *vm, c *client, t *target, what byte) {
	if t.kind != c.kind {
		o.misrouted++
		o.violate("%s of %s reached a target of %s", c.key.String(), kindNames[c.kind], kindNames[t.kind])
		return
	}
	o.world.tracef("%s %c by %s to %s", c.key.String(), what, from.name, t.host)
	if what == opens {
		o.checkOpening(from, c, t)
	}
	if o.steady && c.fastOpen && what == opens && len(c.visited) > 0 && c.visited[0] != t {
		o.violate("%s was placed on %s after its payload went to %s", c.key.String(), t.host, c.visited[0].host)
	}
	if !slices.Contains(c.visited, t) {
		c.visited = append(c.visited, t)
		if len(c.visited) == 2 && c.kind == hold {
			o.doubleRuns++
			o.violate("%s was forwarded to %s and %s", c.key.String(), c.visited[0].host, t.host)
		}
	}
}

func (o *oracle) checkOpening(from *vm, c *client, t *target) {
	if c.state == refusedState && !c.ran {
		o.falseRefusals++
		o.violate("%s was refused and ran later", c.key.String())
	}
	c.ran = true
	isNew := !slices.Contains(c.visited, t) && c.started > t.markedAt+leavingSpan
	if t.mark == "leaving" && isNew && !o.exact && o.hasSeen(from) {
		o.lateFlows++
		o.violate("%s was placed on %s, which has been leaving for %d ms, by %s",
			c.key.String(), t.host, o.world.now-t.markedAt, from.name)
	}
}

// placed checks a target that a VM chose for a new flow against the tables that are in
// force there, and against the published ones where the VM could see those in time.
func (o *oracle) placed(v *vm, chosen flow.Target) {
	t := o.world.byTarget[chosen.Endpoint()]
	if t == nil || v.tables == nil {
		return
	}
	o.world.tracef("%s chooses %s for %s", v.name, t.host, kindNames[t.kind])
	if t.mark == "serving" || t.mark == "joining" || o.world.now-t.markedAt <= leavingSpan {
		return
	}
	if v.tables.Version() >= t.markedVersion || o.couldSee(v, t.markedAt) {
		o.lateFlows++
		o.violate("%s on tables %d chose %s, which has been leaving for %d ms since tables %d",
			v.name, v.tables.Version(), t.host, o.world.now-t.markedAt, t.markedVersion)
	}
}

// couldSee reports whether a VM was in touch with the platform, or with VMs that are,
// for the whole of the span that a mark may take.
func (o *oracle) couldSee(v *vm, published clock.Millis) bool {
	w := o.world
	if !o.steady || w.platform.down || w.platform.stale || w.cut[v.domain] {
		return false
	}
	return w.now-max(v.blind, published, w.platform.blind) > leavingSpan
}

// hasSeen reports whether a VM could have seen the newest tables: it is not cut off.
func (o *oracle) hasSeen(v *vm) bool {
	return !o.world.cut[v.domain] && !o.world.platform.down
}

// inForce checks that versions never fall and notes when all VMs have the newest.
func (o *oracle) inForce(v *vm, tables *table.Snapshot) {
	if v.tables != nil && tables.Version() < v.tables.Version() {
		o.violate("%s went back from tables %d to %d", v.name, v.tables.Version(), tables.Version())
	}
	v.tables = tables
	for _, other := range o.world.vms {
		if other.up && !o.world.cut[other.domain] && (other.tables == nil || other.tables.Version() < o.world.platform.tablesVersion) {
			return
		}
	}
	// Tables come into force again with more retired hosts, and at VMs that start later.
	if o.everywhere < o.world.platform.tablesVersion {
		o.everywhere = o.world.platform.tablesVersion
		o.converged = max(o.converged, o.world.now-o.world.platform.published)
	}
}
