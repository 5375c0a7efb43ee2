package targets

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/table"
)

const (
	// probeFall is the number of failed probes in a row after which a host counts as down.
	probeFall = 3
	// probeRise is the number of successful probes in a row after which it counts as up
	// again.
	probeRise = 2
	// maxReportAge is the age above which the reports of other daemons are ignored.
	maxReportAge = 30 * clock.Second
	// idleTTL is how long a target without new evidence is kept, and ejectedTTL the same
	// for a target that was recently ejected.
	idleTTL    = 1 * clock.Minute
	ejectedTTL = 10 * clock.Minute
)

// Monitor combines probes, reports and evidence into verdicts. It must be used by a single
// goroutine.
type Monitor struct {
	self        fleet.ID
	snapshot    *table.Snapshot
	list        *fleet.List
	vmsByDomain map[string]int
	vmCount     int
	probeTasks  []*probeTask
	byID        map[flow.TargetID]*probeTask
	targets     map[flow.TargetID]*targetHealth
	verdicts    map[flow.TargetID]*Verdict
	// dirty is set if a verdict may have changed since the last evaluation.
	dirty bool
}

// targetHealth holds the evidence about one target.
type targetHealth struct {
	passive        passiveHealth
	reports        []receivedReport
	lastEvidenceAt clock.Millis
	// probesWereDown is set if the probes reported the target as down at the last
	// evaluation. It is used to detect recovery.
	probesWereDown bool
}

// receivedReport is a report that was received from another daemon.
type receivedReport struct {
	reporter    fleet.ID
	down        bool
	confirmedAt clock.Millis
}

// New returns the Monitor of the VM self. It has no targets until SetTables and SetList
// are called.
func New(self fleet.ID) *Monitor {
	return &Monitor{
		self:     self,
		byID:     make(map[flow.TargetID]*probeTask),
		targets:  make(map[flow.TargetID]*targetHealth),
		verdicts: make(map[flow.TargetID]*Verdict),
	}
}

// SetTables replaces the tables.
func (m *Monitor) SetTables(now clock.Millis, snapshot *table.Snapshot) {
	m.snapshot = snapshot
	m.updateProbeTasks(now)
	for id := range m.targets {
		if _, ok := snapshot.Host(id); !ok {
			delete(m.targets, id)
		}
	}
}

// SetList replaces the list of entry VMs.
func (m *Monitor) SetList(now clock.Millis, list *fleet.List) {
	m.list = list
	m.vmsByDomain, m.vmCount = make(map[string]int), 0
	for i := range list.VMs() {
		if vm := &list.VMs()[i]; vm.State() == fleet.Serving {
			m.vmsByDomain[vm.Domain()]++
			m.vmCount++
		}
	}
	m.updateProbeTasks(now)
}

// updateProbeTasks derives the hosts that this daemon probes and keeps the state of those
// that it probed before.
func (m *Monitor) updateProbeTasks(now clock.Millis) {
	m.dirty = true
	if m.snapshot == nil || m.list == nil {
		return
	}
	byID := make(map[flow.TargetID]*probeTask)
	m.probeTasks = m.probeTasks[:0]
	for _, h := range assignedHosts(m.snapshot, m.list, m.self) {
		task, ok := m.byID[h.ID()]
		if !ok {
			task = &probeTask{}
			task.probe = NewProbe(h.ID(), h.Endpoint(), h.Protocol())
			task.start(now, m.self)
		}
		task.probe = NewProbe(h.ID(), h.Endpoint(), h.Protocol())
		byID[h.ID()] = task
		m.probeTasks = append(m.probeTasks, task)
	}
	m.byID = byID
}

// TakeDueProbes returns the probes that are to be started now, at most 16 per call, and
// schedules the next probe of each of these hosts.
func (m *Monitor) TakeDueProbes(now clock.Millis) []Probe {
	var due []Probe
	for _, task := range m.probeTasks {
		if task.next <= now && len(due) < maxStartedProbes {
			task.advance(now, m.self)
			due = append(due, task.probe)
		}
	}
	return due
}

// AddProbeOutcome adds the outcome of a probe. Outcomes for hosts that this daemon no longer
// probes are ignored.
func (m *Monitor) AddProbeOutcome(now clock.Millis, id flow.TargetID, passed bool) {
	task, ok := m.byID[id]
	if !ok || !task.state.add(passed, probeRise, probeFall) {
		return
	}
	task.changed, task.hasFailed = now, true
	m.ensureTarget(now, id)
	m.dirty = true
}

// AddEvidence adds the evidence from the flows of targets.
func (m *Monitor) AddEvidence(now clock.Millis, tallies []placement.Tally) {
	for i := range tallies {
		t := m.ensureTarget(now, tallies[i].ID())
		if t.passive.add(now, &tallies[i]) {
			m.dirty = true
		}
		t.passive.addReplies(now, &tallies[i])
	}
	for id, t := range m.targets {
		if t.passive.isUnresponsive(now, m.vmCount) && m.hasOtherReplyingTarget(now, id) && t.passive.recordUnresponsive(now) {
			m.dirty = true
		}
	}
}

// hasOtherReplyingTarget reports whether another target of the same pool has recently sent
// packets.
func (m *Monitor) hasOtherReplyingTarget(now clock.Millis, id flow.TargetID) bool {
	if m.snapshot == nil {
		return false
	}
	for _, p := range m.snapshot.Pools() {
		member, replies := false, false
		for i := range p.Hosts() {
			hostID := p.Hosts()[i].ID()
			member = member || hostID == id
			t, ok := m.targets[hostID]
			replies = replies || (ok && hostID != id && t.passive.hasReplied && now-t.passive.lastReplyAt < minUnresponsiveTime)
		}
		if member {
			return replies
		}
	}
	return false
}

// Reports returns at most limit reports to send to other daemons, the latest first. They
// contain the hosts that this daemon has found to be down or up again, and the reports
// received from other daemons.
func (m *Monitor) Reports(now clock.Millis, limit int) []Report {
	var reports []Report
	for _, task := range m.probeTasks {
		if task.state.down || (task.hasFailed && now-task.changed <= maxReportAge) {
			reports = append(reports, NewReport(m.self, task.probe.id, task.state.down, 0))
		}
	}
	for id, t := range m.targets {
		for _, received := range t.reports {
			if now-received.confirmedAt <= maxReportAge {
				reports = append(reports, NewReport(received.reporter, id, received.down, now-received.confirmedAt))
			}
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.id, b.id), cmp.Compare(a.reporter, b.reporter))
	})
	return reports[:min(limit, len(reports))]
}

// AddReports merges the reports that another daemon sent. Reports that are no newer than the
// known ones of the same reporter, or older than 30 s, are ignored.
func (m *Monitor) AddReports(now clock.Millis, reports []Report) {
	if m.snapshot == nil {
		return
	}
	for _, r := range reports {
		if r.reporter == m.self || r.age > maxReportAge {
			continue
		}
		if _, ok := m.snapshot.Host(r.id); ok && m.ensureTarget(now, r.id).add(now, r) {
			m.dirty = true
		}
	}
}

// add replaces an older report of the same daemon and reports whether it did. A target has
// at most maxReports reports; a new one replaces the oldest.
func (t *targetHealth) add(now clock.Millis, r Report) bool {
	const maxReports = 2 * proberCount
	updated := receivedReport{reporter: r.reporter, down: r.down, confirmedAt: now - r.age}
	for i := range t.reports {
		if t.reports[i].reporter != r.reporter {
			continue
		}
		if t.reports[i].confirmedAt >= updated.confirmedAt {
			return false
		}
		t.reports[i] = updated
		return true
	}
	if len(t.reports) >= maxReports {
		slices.SortFunc(t.reports, func(a, b receivedReport) int { return cmp.Compare(a.confirmedAt, b.confirmedAt) })
		t.reports = slices.Delete(t.reports, 0, 1)
	}
	t.reports = append(t.reports, updated)
	return true
}

func (m *Monitor) ensureTarget(now clock.Millis, id flow.TargetID) *targetHealth {
	t, ok := m.targets[id]
	if !ok {
		t = &targetHealth{}
		m.targets[id] = t
	}
	t.lastEvidenceAt = now
	return t
}

// Tick expires stale reports and evidence and updates the verdicts. It returns the targets
// that take no new flows, sorted by ID, and reports whether any verdict changed.
func (m *Monitor) Tick(now clock.Millis) (ejected []flow.TargetID, changed bool) {
	for id, t := range m.targets {
		m.expire(now, id, t)
	}
	if m.dirty && m.snapshot != nil {
		changed = m.evaluate(now)
		m.dirty = false
	}
	for id, v := range m.verdicts {
		if v.ejected {
			ejected = append(ejected, id)
		}
	}
	slices.Sort(ejected)
	return ejected, changed
}

func (m *Monitor) expire(now clock.Millis, id flow.TargetID, t *targetHealth) {
	current := slices.DeleteFunc(t.reports, func(r receivedReport) bool { return now-r.confirmedAt > maxReportAge })
	if len(current) != len(t.reports) {
		m.dirty = true
	}
	t.reports = current
	if t.passive.endEjection(now) {
		m.dirty = true
	}
	if t.passive.hasGoodResult && !t.passive.isAnswering(now) {
		t.passive.hasGoodResult = false
		m.dirty = true
	}
	ttl := idleTTL
	if t.passive.ejections > 0 {
		ttl = ejectedTTL
	}
	if now-t.lastEvidenceAt > ttl && !t.passive.down && len(t.reports) == 0 {
		delete(m.targets, id)
	}
}

// Verdicts returns the verdicts of all suspects, sorted by target ID.
func (m *Monitor) Verdicts() []Verdict {
	var verdicts []Verdict
	for _, v := range m.verdicts {
		verdicts = append(verdicts, *v)
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return cmp.Compare(a.id, b.id) })
	return verdicts
}
