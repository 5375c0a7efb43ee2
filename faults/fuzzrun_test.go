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

// severity determines which faults a run may contain.
type severity int

const (
	plannedChanges severity = iota // planned changes only
	withCrashes                    // also crashes of up to two entry VMs at a time
	allFaults                      // any fault at any time
	severityCount
)

var severityNames = [severityCount]string{"planned changes", "crashes", "all faults"}

// chooser draws a number from 0 to n-1 for the decision with the given label.
type chooser func(label string, n int) int

// fuzzRun is a small simulation whose changes and faults are drawn by a chooser.
type fuzzRun struct {
	*simulation
	choose      chooser
	severity    severity
	restarts    bool           // processes restart without state, so fewer than half of the VMs in a list may change
	replacing   bool           // a replacement of a VM is in progress
	nextCrashAt clock.Millis   // earliest next crash of a run with severity withCrashes
	lastNumber  int            // of the hosts and VMs that were added
	listChanges []clock.Millis // when VMs entered or left the list
	initialVMs  int
}

// Times and sizes of a run. The lifetime of an opening covers all attempts of a client and
// the maximum delay of each hop, as the settings of a daemon require.
const (
	fuzzOpening        = 6 * clock.Second
	fuzzLease          = clock.Second
	fuzzProbe          = 100 * clock.Millisecond
	fuzzRetransmission = 250 * clock.Millisecond
	fuzzWarmUp         = 2*fuzzOpening + 4*clock.Second
	finalDuration      = 14 * clock.Second
	actionsPerRun      = 24
	fuzzBuckets        = 16
	// crashInterval is the minimum time between crashes in a run with severity withCrashes.
	// It lets the VMs repair missing copies of records.
	crashInterval = 12 * clock.Second
	// listChangeWindow is how long a change of the list counts towards the limit of changes.
	listChangeWindow = 2 * (fuzzOpening + fuzzLease)
	// propagationLimit is the time within which all VMs must apply published tables.
	propagationLimit = 11 * clock.Second
)

// newFuzzRun draws the deployment and the severity of a run.
func newFuzzRun(choose chooser, defect core.Defect, naive, trace bool) *fuzzRun {
	domains := []string{"kadikoy", "besiktas", "umraniye", "bakirkoy"}[:1+choose("domains", 4)]
	c := config{
		seed: uint64(choose("seed", 1<<20)), defect: defect, naive: naive, trace: trace, copies: 2,
		domains: domains, bookingHosts: 3 + choose("hosts", 5), photoHosts: 2,
		maxDrift: choose("skew", 6), rankingBuckets: fuzzBuckets,
		timing: timing{opening: fuzzOpening, lease: fuzzLease, probe: fuzzProbe, retransmission: fuzzRetransmission},
	}
	c.vmsPerDomain = 1 + choose("per domain", 3)
	for c.vmsPerDomain*len(domains) < 3 {
		c.vmsPerDomain++
	}
	for c.vmsPerDomain*len(domains) > 9 {
		c.vmsPerDomain--
	}
	c.shedPercent = []int{0, 0, 30}[choose("shed", 3)]
	f := &fuzzRun{simulation: newSimulation(c), choose: choose, initialVMs: c.vmsPerDomain * len(domains)}
	f.severity = severity(choose("severity", int(severityCount)))
	f.restarts = choose("restarts", 2) == 0
	f.oracle.checkPlacementOnly = true
	f.oracle.onlyCrashes = f.severity != allFaults
	f.tracef("%d VMs in %d domains, %s", f.initialVMs, len(domains), severityNames[f.severity])
	return f
}

// action is a change or fault that a run may draw.
type action struct {
	name string
	run  func()
}

// actions returns the actions that the severity allows. An action that is listed more than
// once is drawn more often.
func (f *fuzzRun) actions() []action {
	all := []action{
		{"flows", f.startFlows}, {"flows", f.startFlows}, {"flows", f.startFlows},
		{"mark", f.changeHostState}, {"mark", f.changeHostState}, {"add host", f.addHost}, {"swap hosts", f.swapHosts},
		{"replace", f.replace}, {"add VM", f.addVM}, {"degrade network", f.degradeNetwork}, {"reorder", f.toggleReordering},
	}
	if f.severity == plannedChanges {
		return all
	}
	all = append(all, action{"crash", f.crashVMs}, action{"crash", f.crashVMs})
	if f.severity == withCrashes {
		return all
	}
	all = append(all,
		action{"cut", f.partitionRandomDomain}, action{"cut", f.partitionRandomDomain}, action{"heal", f.healPartitions},
		action{"pause", f.pauseVM}, action{"pause", f.pauseVM},
		action{"platform", f.setPlatformState}, action{"remove unreachable", f.removeUnreachable}, action{"restore removed", f.restoreRemoved},
		action{"target", f.toggleTarget}, action{"host", f.removeHost},
		action{"hit holders", f.hitHolders}, action{"hit holders", f.hitHolders},
		action{"remove partitioned domain", f.removePartitionedDomain}, action{"crash lone decider", f.crashLoneDecider},
	)
	if f.restarts {
		all = append(all, action{"restart", f.restartVM}, action{"restart", f.restartVM})
	}
	return all
}

// actionDelays are the delays after an action, and before a restart or the return of a host.
var actionDelays = []clock.Millis{0, 0, 5, 20, 100, 300, clock.Second, 3 * clock.Second}

// play runs the simulation and returns the first violation that the oracle found.
func (f *fuzzRun) play() error {
	f.advance(fuzzWarmUp)
	f.oracle.startCounting()
	f.startFlows()
	actions := f.actions()
	for range actionsPerRun {
		a := actions[f.choose("action", len(actions))]
		f.tracef("# %s", a.name)
		a.run()
		f.advance(actionDelays[f.choose("wait", len(actionDelays))])
		if err := f.firstViolation(); err != nil {
			return err
		}
	}
	f.clearFaults()
	f.advance(finalDuration)
	f.checkTablesPropagated()
	f.checkFlowsSurvived()
	return f.firstViolation()
}

func (f *fuzzRun) firstViolation() error {
	if len(f.oracle.violations) == 0 {
		return nil
	}
	return fmt.Errorf("%s", f.oracle.violations[0])
}

// checkFlowsSurvived reports flows that broke although only planned changes and crashes of
// up to two entry VMs at a time happened.
func (f *fuzzRun) checkFlowsSurvived() {
	if !f.oracle.onlyCrashes {
		return
	}
	for _, c := range f.sortedClients() {
		if c.counted && (c.state == stateBroken || c.state == stateLostTarget) {
			f.oracle.violatef("%s of %s broke, answered %d", c.key.String(), kindNames[c.kind], c.answerCount)
		}
	}
}

func (f *fuzzRun) sortedClients() []*client {
	var all []*client
	for _, c := range f.clients {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *client) int { return int(a.id) - int(b.id) })
	return all
}

// checkTablesPropagated reports listed VMs that do not have the latest tables after
// propagationLimit.
func (f *fuzzRun) checkTablesPropagated() {
	for _, v := range f.vms {
		listed := slices.ContainsFunc(f.platform.vms, func(e vmEntry) bool { return e.name == v.name })
		if !v.up || !listed || f.now-max(v.noUpdatesUntil, f.platform.publishedAt, f.platform.unavailableUntil) < propagationLimit {
			continue
		}
		if v.tables == nil || v.tables.Version() < f.platform.tablesVersion {
			f.oracle.violatef("%s does not have tables %d", v.name, f.platform.tablesVersion)
		}
	}
}

// clearFaults ends all partitions and faults of the platform and the network.
func (f *fuzzRun) clearFaults() {
	f.tracef("# clear faults")
	f.healPartitions()
	f.platform.down, f.platform.stale = false, false
	f.config.lossProbability, f.config.duplicateProbability, f.config.maxJitter = 0, 0, 0
}

// flowPattern matches the client address of a flow.
var flowPattern = regexp.MustCompile(`198\.18\.[0-9.]+:[0-9]+`)

// filteredTrace returns the trace of a failed run. If the first violation concerns a flow, the
// lines about other flows are left out.
func (f *fuzzRun) filteredTrace() string {
	failedFlow := ""
	if len(f.oracle.violations) > 0 {
		failedFlow = flowPattern.FindString(f.oracle.violations[0])
	}
	var b strings.Builder
	for _, line := range f.traceLines {
		if mentioned := flowPattern.FindString(line); mentioned == "" || mentioned == failedFlow || failedFlow == "" {
			b.WriteString(line + "\n")
		}
	}
	return b.String()
}

// traceMessage traces a message between entry VMs with the flow that it concerns.
func (s *simulation) traceMessage(v *vm, to fleet.ID, m *steer.Message, inner []byte) {
	if !s.config.trace {
		return
	}
	key := m.Key
	var p packet.Packet
	if len(inner) > 0 && p.Parse(append([]byte(nil), inner...)) == nil {
		key = p.Key()
	}
	peerName := "?"
	if other := s.vmByID[to]; other != nil {
		peerName = other.name
	}
	targetName := ""
	if t := s.targetByEndpoint[m.Target.Endpoint()]; t != nil {
		targetName = " target " + t.host
	}
	if key != (flow.Key{}) {
		s.tracef("%s %s>%s %s%s decided=%t ballot=%d.%d.%x list=%d", key.String(), v.name, peerName, m.Kind, targetName,
			m.Decided, m.Ballot.ListVersion, m.Ballot.Round, uint64(m.Ballot.VM)>>48, m.ListVersion)
	}
}
