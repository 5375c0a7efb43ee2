package faults

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/steer"
)

// severity says which faults a run may have.
type severity int

const (
	planned  severity = iota // planned changes only
	crashing                 // also crashes of up to two entry VMs at a time
	anything                 // every fault at any moment
	severities
)

var severityNames = [severities]string{"planned", "crashing", "anything"}

// chooser draws the decisions of a run.
type chooser func(label string, n int) int

// fuzz is a small world whose changes and faults are drawn by a chooser.
type fuzz struct {
	*world
	choose   chooser
	severity severity
	restarts bool // processes start afresh, so that lists change by less than half
	moving   bool // a VM is being replaced
	quiet    clock.Millis
	names    int
	edited   []clock.Millis // when VMs entered or left the list
	size     int
}

// Spans of a run. The lifetime of an opening covers all tries of a client and the
// longest delay of each hop, so that what the settings promise holds.
const (
	fuzzOpening        = 6 * clock.Second
	fuzzLease          = clock.Second
	fuzzProbe          = 100 * clock.Millisecond
	fuzzRetransmission = 250 * clock.Millisecond
	fuzzWarmUp         = 2*fuzzOpening + 4*clock.Second
	fuzzTail           = 14 * clock.Second
	fuzzActions        = 24
	fuzzBuckets        = 16
	// crashQuiet is the span between crashes of a crashing run, in which records are
	// copied anew.
	crashQuiet = 12 * clock.Second
	// listSpan is how long a change of the list counts against the next one.
	listSpan = 2 * (fuzzOpening + fuzzLease)
	// propagation is the span in which an accepted change is in force everywhere.
	propagation = 11 * clock.Second
)

func newFuzz(choose chooser, breakage core.Breakage, naive, trace bool) *fuzz {
	domains := []string{"kadikoy", "besiktas", "umraniye", "bakirkoy"}[:1+choose("domains", 4)]
	c := config{
		seed: uint64(choose("seed", 1<<20)), breakage: breakage, naive: naive, trace: trace, copies: 2,
		domains: domains, hosts: 3 + choose("hosts", 5), photos: 2,
		skew: choose("skew", 6), buckets: fuzzBuckets,
		spans: spans{opening: fuzzOpening, lease: fuzzLease, probe: fuzzProbe, retransmission: fuzzRetransmission},
	}
	c.perDomain = 1 + choose("per domain", 3)
	for c.perDomain*len(domains) < 3 {
		c.perDomain++
	}
	for c.perDomain*len(domains) > 9 {
		c.perDomain--
	}
	c.shed = []int{0, 0, 30}[choose("shed", 3)]
	f := &fuzz{world: newWorld(c), choose: choose, size: c.perDomain * len(domains)}
	f.severity = severity(choose("severity", int(severities)))
	f.restarts = choose("restarts", 2) == 0
	f.oracle.exact = true
	f.oracle.steady = f.severity != anything
	f.tracef("%d VMs in %d domains, %s", f.size, len(domains), severityNames[f.severity])
	return f
}

// action is one thing that may happen.
type action struct {
	name string
	run  func()
}

func (f *fuzz) actions() []action {
	all := []action{
		{"flows", f.flows}, {"flows", f.flows}, {"flows", f.flows},
		{"mark", f.mark}, {"mark", f.mark}, {"add host", f.addHost}, {"edit", f.edit},
		{"replace", f.replace}, {"join", f.join}, {"weather", f.weather}, {"reorder", f.reorder},
	}
	if f.severity == planned {
		return all
	}
	all = append(all, action{"crash", f.crash}, action{"crash", f.crash})
	if f.severity == crashing {
		return all
	}
	all = append(all,
		action{"cut", f.cutDomain}, action{"cut", f.cutDomain}, action{"heal", f.heal},
		action{"pause", f.pause}, action{"pause", f.pause},
		action{"platform", f.platformState}, action{"delist", f.delist}, action{"relist", f.relist},
		action{"target", f.targetState}, action{"host", f.hostState},
		action{"strike", f.strike}, action{"strike", f.strike}, action{"exile", f.exile}, action{"ambush", f.ambush},
	)
	if f.restarts {
		all = append(all, action{"restart", f.restart}, action{"restart", f.restart})
	}
	return all
}

var waits = []clock.Millis{0, 0, 5, 20, 100, 300, clock.Second, 3 * clock.Second}

// play runs the world and returns what the oracle found.
func (f *fuzz) play() error {
	f.run(fuzzWarmUp)
	f.oracle.watch()
	f.flows()
	actions := f.actions()
	for range fuzzActions {
		a := actions[f.choose("action", len(actions))]
		f.tracef("# %s", a.name)
		a.run()
		f.run(waits[f.choose("wait", len(waits))])
		if err := f.verdict(); err != nil {
			return err
		}
	}
	f.healAll()
	f.run(fuzzTail)
	f.checkPropagation()
	f.checkFeeds()
	return f.verdict()
}

func (f *fuzz) verdict() error {
	if len(f.oracle.violations) == 0 {
		return nil
	}
	return fmt.Errorf("%s", f.oracle.violations[0])
}

// checkFeeds finds flows that broke although only planned changes or crashes of up to
// two entry VMs at a time happened.
func (f *fuzz) checkFeeds() {
	if !f.oracle.steady {
		return
	}
	for _, c := range f.sortedClients() {
		if c.watched && (c.state == broken || c.state == lostTarget) {
			f.oracle.violate("%s of %s broke, answered %d", c.key.String(), kindNames[c.kind], c.answers)
		}
	}
}

func (f *fuzz) sortedClients() []*client {
	var all []*client
	for _, c := range f.clients {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *client) int { return int(a.number) - int(b.number) })
	return all
}

// checkPropagation finds VMs that did not get the newest tables in time.
func (f *fuzz) checkPropagation() {
	for _, v := range f.vms {
		listed := slices.ContainsFunc(f.platform.vms, func(e vmEntry) bool { return e.name == v.name })
		if !v.up || !listed || f.now-max(v.blind, f.platform.published, f.platform.blind) < propagation {
			continue
		}
		if v.tables == nil || v.tables.Version() < f.platform.tablesVersion {
			f.oracle.violate("%s has not got tables %d", v.name, f.platform.tablesVersion)
		}
	}
}

func (f *fuzz) healAll() {
	f.tracef("# heal all")
	f.heal()
	f.platform.down, f.platform.stale = false, false
	f.config.loss, f.config.duplicate, f.config.jitter = 0, 0, 0
}

var flowPattern = regexp.MustCompile(`198\.18\.[0-9.]+:[0-9]+`)

// story returns the trace of a failed run without the flows that it is not about.
func (f *fuzz) story() string {
	about := ""
	if len(f.oracle.violations) > 0 {
		about = flowPattern.FindString(f.oracle.violations[0])
	}
	var b strings.Builder
	for _, line := range f.lines {
		if mentioned := flowPattern.FindString(line); mentioned == "" || mentioned == about || about == "" {
			b.WriteString(line + "\n")
		}
	}
	return b.String()
}

// traceMessage notes a message between entry VMs and the flow that it is about.
func (w *world) traceMessage(v *vm, to fleet.ID, m *steer.Message, inner []byte) {
	if !w.config.trace {
		return
	}
	key := m.Key
	var p packet.Packet
	if len(inner) > 0 && p.Parse(append([]byte(nil), inner...)) == nil {
		key = p.Key()
	}
	name := "?"
	if other := w.byID[to]; other != nil {
		name = other.name
	}
	goal := ""
	if t := w.byTarget[m.Target.Endpoint()]; t != nil {
		goal = " target " + t.host
	}
	if key != (flow.Key{}) {
		w.tracef("%s %s>%s %s%s decided=%t ballot=%d.%d.%x list=%d", key.String(), v.name, name, m.Kind, goal,
			m.Decided, m.Ballot.List, m.Ballot.Round, uint64(m.Ballot.VM)>>48, m.List)
	}
}
