package faults

import (
	"fmt"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/table"
)

// leavingGrace is the time after its publication as leaving in which a target may still
// get new flows.
const leavingGrace = 3 * clock.Second

// oracle checks the guarantees of the product, records violations and counts events.
type oracle struct {
	simulation         *simulation
	violations         []string
	offeredHolds       int
	refusedHolds       int
	unansweredHolds    int
	openedFlows        int // repeatable flows that opened
	counting           bool
	countedFlows       int          // flows that were open with two answers after startCounting
	openAtFault        int          // counted flows when startCounting was called
	brokenFlows        int          // counted flows that broke
	lostFlows          int          // flows whose target went down or was partitioned
	doubleRuns         int          // holds that reached two targets
	falseRefusals      int          // refused flows that reached a target
	misrouted          int          // packets that reached a target of another kind
	lateFlows          int          // new flows on a target that was leaving for longer than leavingGrace
	failedOpenings     int          // repeatable flows that were never answered
	slowestConvergence clock.Millis // longest time until all reachable VMs used a new version of the tables
	convergedVersion   uint64       // latest version of the tables that all reachable VMs used at once
	checkPlacementOnly bool         // late flows are detected when a VM chooses a target, not on delivery
	onlyCrashes        bool         // only planned changes and crashes happen
}

// violatef records a violation of a guarantee.
func (o *oracle) violatef(format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	o.violations = append(o.violations, fmt.Sprintf("%d ", o.simulation.now)+line)
	o.simulation.tracef("VIOLATION %s", line)
}

func (o *oracle) flowStarted(c *client) {
	if c.kind == hold {
		o.offeredHolds++
	}
}

func (o *oracle) flowOpened(c *client) {
	if c.kind != hold {
		o.openedFlows++
	}
}

// startCounting starts to count broken flows. A flow is counted from its second answer on.
func (o *oracle) startCounting() {
	o.counting = true
	for _, c := range o.simulation.clients {
		if c.state == stateOpen {
			o.flowAnswered(c)
		}
	}
	o.openAtFault = o.countedFlows
}

func (o *oracle) flowAnswered(c *client) {
	if o.counting && !c.counted && c.answerCount >= 2 {
		c.counted = true
		o.countedFlows++
	}
}

func (o *oracle) flowEnded(c *client) {
	switch c.state {
	case stateBroken:
		if c.counted {
			o.brokenFlows++
		}
	case stateLostTarget:
		o.lostFlows++
	case stateRefused:
		o.flowRefused(c)
	case stateUnanswered:
		if c.kind == hold {
			o.unansweredHolds++
		} else {
			o.failedOpenings++
		}
	case stateOpening, stateOpen, stateFinished, stateShed:
	}
}

func (o *oracle) flowRefused(c *client) {
	if c.kind == hold {
		o.refusedHolds++
	}
	if c.executed {
		o.falseRefusals++
		o.violatef("%s was refused but reached a target", c.key.String())
	}
}

// packetDelivered checks a packet that reached a target.
func (o *oracle) packetDelivered(from *vm, c *client, t *target, payloadType byte) {
	if t.kind != c.kind {
		o.misrouted++
		o.violatef("%s of %s reached a target of %s", c.key.String(), kindNames[c.kind], kindNames[t.kind])
		return
	}
	o.simulation.tracef("%s %c by %s to %s", c.key.String(), payloadType, from.name, t.host)
	if payloadType == payloadOpening {
		o.checkOpening(from, c, t)
	}
	if o.onlyCrashes && c.fastOpen && payloadType == payloadOpening && len(c.visited) > 0 && c.visited[0] != t {
		o.violatef("%s was placed on %s after its payload went to %s", c.key.String(), t.host, c.visited[0].host)
	}
	if !slices.Contains(c.visited, t) {
		c.visited = append(c.visited, t)
		if len(c.visited) == 2 && c.kind == hold {
			o.doubleRuns++
			o.violatef("%s was forwarded to %s and %s", c.key.String(), c.visited[0].host, t.host)
		}
	}
}

// checkOpening checks an opening that reached a target.
func (o *oracle) checkOpening(from *vm, c *client, t *target) {
	if c.state == stateRefused && !c.executed {
		o.falseRefusals++
		o.violatef("%s was refused and reached a target later", c.key.String())
	}
	c.executed = true
	isNew := !slices.Contains(c.visited, t) && c.started > t.stateSince+leavingGrace
	if t.state == "leaving" && isNew && !o.checkPlacementOnly && o.canReceiveUpdates(from) {
		o.lateFlows++
		o.violatef("%s was placed on %s, which has been leaving for %d ms, by %s",
			c.key.String(), t.host, o.simulation.now-t.stateSince, from.name)
	}
}

// targetChosen checks a target that a VM chose for a new flow against the current tables of
// the VM, and against the published tables if the VM should have received those by now.
func (o *oracle) targetChosen(v *vm, chosen flow.Target) {
	t := o.simulation.targetByEndpoint[chosen.Endpoint()]
	if t == nil || v.tables == nil {
		return
	}
	o.simulation.tracef("%s chooses %s for %s", v.name, t.host, kindNames[t.kind])
	if t.state == "serving" || t.state == "joining" || o.simulation.now-t.stateSince <= leavingGrace {
		return
	}
	if v.tables.Version() >= t.stateVersion || o.shouldHaveTables(v, t.stateSince) {
		o.lateFlows++
		o.violatef("%s on tables %d chose %s, which has been leaving for %d ms since tables %d",
			v.name, v.tables.Version(), t.host, o.simulation.now-t.stateSince, t.stateVersion)
	}
}

// shouldHaveTables reports whether a VM could receive updates, from the platform or from VMs
// that read it, for longer than leavingGrace after tables were published.
func (o *oracle) shouldHaveTables(v *vm, publishedAt clock.Millis) bool {
	s := o.simulation
	if !o.onlyCrashes || s.platform.down || s.platform.stale || s.partitioned[v.domain] {
		return false
	}
	return s.now-max(v.noUpdatesUntil, publishedAt, s.platform.unavailableUntil) > leavingGrace
}

// canReceiveUpdates reports whether the platform is up and the VM is not partitioned.
func (o *oracle) canReceiveUpdates(v *vm) bool {
	return !o.simulation.partitioned[v.domain] && !o.simulation.platform.down
}

// tablesApplied checks that the version never decreases at a VM and measures how long it
// takes until all VMs that are up and not partitioned use the latest version.
func (o *oracle) tablesApplied(v *vm, tables *table.Snapshot) {
	if v.tables != nil && tables.Version() < v.tables.Version() {
		o.violatef("%s went back from tables %d to %d", v.name, v.tables.Version(), tables.Version())
	}
	v.tables = tables
	for _, other := range o.simulation.vms {
		if other.up && !o.simulation.partitioned[other.domain] && (other.tables == nil || other.tables.Version() < o.simulation.platform.tablesVersion) {
			return
		}
	}
	// The same version is applied again when it gains retired hosts, and by VMs that start
	// later. Only the first time counts.
	if o.convergedVersion < o.simulation.platform.tablesVersion {
		o.convergedVersion = o.simulation.platform.tablesVersion
		o.slowestConvergence = max(o.slowestConvergence, o.simulation.now-o.simulation.platform.publishedAt)
	}
}
