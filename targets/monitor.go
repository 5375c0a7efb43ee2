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
	// probeFall is the number of failed probes in a row that make a finding of down.
	probeFall = 3
	// probeRise is the number of passed probes in a row that end it.
	probeRise = 2
	// reportLife is how long the finding of another daemon counts.
	reportLife = 30 * clock.Second
	// idleLife is how long a target without evidence is remembered, and badLife the same
	// for one that was ejected lately.
	idleLife = 1 * clock.Minute
	badLife  = 10 * clock.Minute
)

// Monitor joins probes, reports and evidence into verdicts. It is used by one control
// goroutine.
type Monitor struct {
	self     fleet.ID
	snapshot *table.Snapshot
	list     *fleet.List
	domains  map[string]int
	vms      int
	duties   []*duty
	byID     map[flow.TargetID]*duty
	tracks   map[flow.TargetID]*track
	verdicts map[flow.TargetID]*Verdict
	// dirty says that a verdict may have changed.
	dirty bool
}

// track is what is known of a target that there is evidence about.
type track struct {
	passive  passive
	findings []finding
	touched  clock.Millis
	// wasDown is the last state of the probes, to notice when it ends.
	wasDown bool
}

// finding is the report of another daemon.
type finding struct {
	from fleet.ID
	down bool
	at   clock.Millis
}

// New returns a Monitor of the VM self that knows no targets yet.
func New(self fleet.ID) *Monitor {
	return &Monitor{
		self:     self,
		byID:     make(map[flow.TargetID]*duty),
		tracks:   make(map[flow.TargetID]*track),
		verdicts: make(map[flow.TargetID]*Verdict),
	}
}

// SetTables puts a version of the tables in force.
func (m *Monitor) SetTables(now clock.Millis, snapshot *table.Snapshot) {
	m.snapshot = snapshot
	m.reassign(now)
	for id := range m.tracks {
		if _, ok := snapshot.Host(id); !ok {
			delete(m.tracks, id)
		}
	}
}

// SetList puts a version of the list of entry VMs in force.
func (m *Monitor) SetList(now clock.Millis, list *fleet.List) {
	m.list = list
	m.domains, m.vms = make(map[string]int), 0
	for i := range list.VMs() {
		if vm := &list.VMs()[i]; vm.State() == fleet.Serving {
			m.domains[vm.Domain()]++
			m.vms++
		}
	}
	m.reassign(now)
}

// reassign derives the duties and keeps the state of those that stay.
func (m *Monitor) reassign(now clock.Millis) {
	m.dirty = true
	if m.snapshot == nil || m.list == nil {
		return
	}
	byID := make(map[flow.TargetID]*duty)
	m.duties = m.duties[:0]
	for _, h := range assign(m.snapshot, m.list, m.self) {
		d, ok := m.byID[h.ID()]
		if !ok {
			d = &duty{}
			d.probe = NewProbe(h.ID(), h.Endpoint(), h.Protocol())
			d.start(now, m.self)
		}
		d.probe = NewProbe(h.ID(), h.Endpoint(), h.Protocol())
		byID[h.ID()] = d
		m.duties = append(m.duties, d)
	}
	m.byID = byID
}

// Due returns the probes to start now, a bounded number at a time.
func (m *Monitor) Due(now clock.Millis) []Probe {
	var due []Probe
	for _, d := range m.duties {
		if d.next <= now && len(due) < dueLimit {
			d.advance(now, m.self)
			due = append(due, d.probe)
		}
	}
	return due
}

// Probed takes the outcome of a probe. Outcomes of hosts that are no longer this
// daemon's to probe are ignored.
func (m *Monitor) Probed(now clock.Millis, id flow.TargetID, passed bool) {
	d, ok := m.byID[id]
	if !ok || !d.state.add(passed, probeRise, probeFall) {
		return
	}
	d.changed, d.hasFailed = now, true
	m.track(now, id)
	m.dirty = true
}

// Evidence takes what the flows of targets showed.
func (m *Monitor) Evidence(now clock.Millis, tallies []placement.Tally) {
	for i := range tallies {
		t := m.track(now, tallies[i].ID())
		if t.passive.add(now, &tallies[i]) {
			m.dirty = true
		}
		t.passive.hear(now, &tallies[i])
	}
	for id, t := range m.tracks {
		if t.passive.isMute(now, m.vms) && m.peerReplies(now, id) && t.passive.mute(now) {
			m.dirty = true
		}
	}
}

// peerReplies reports whether another target of the same pool sent packets lately.
func (m *Monitor) peerReplies(now clock.Millis, id flow.TargetID) bool {
	if m.snapshot == nil {
		return false
	}
	for _, p := range m.snapshot.Pools() {
		member, replies := false, false
		for i := range p.Hosts() {
			own := p.Hosts()[i].ID()
			member = member || own == id
			t, ok := m.tracks[own]
			replies = replies || (ok && own != id && t.passive.isHeard && now-t.passive.heardAt < muteSpan)
		}
		if member {
			return replies
		}
	}
	return false
}

// Reports returns what other daemons are to be told, the latest findings first: those of
// this daemon that a host is down, or is up again, and those that it heard from others.
// limit bounds their number.
func (m *Monitor) Reports(now clock.Millis, limit int) []Report {
	var reports []Report
	for _, d := range m.duties {
		if d.state.down || (d.hasFailed && now-d.changed <= reportLife) {
			reports = append(reports, NewReport(m.self, d.probe.id, d.state.down, 0))
		}
	}
	for id, t := range m.tracks {
		for _, f := range t.findings {
			if now-f.at <= reportLife {
				reports = append(reports, NewReport(f.from, id, f.down, now-f.at))
			}
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.id, b.id), cmp.Compare(a.from, b.from))
	})
	return reports[:min(limit, len(reports))]
}

// AddReports takes the reports that another daemon sent. Findings that are older than
// what is known, or too old to count, are ignored.
func (m *Monitor) AddReports(now clock.Millis, reports []Report) {
	if m.snapshot == nil {
		return
	}
	for _, r := range reports {
		if r.from == m.self || r.age > reportLife {
			continue
		}
		if _, ok := m.snapshot.Host(r.id); ok && m.track(now, r.id).add(now, r) {
			m.dirty = true
		}
	}
}

// add replaces an older finding of the same daemon, and reports whether it did. A target
// has at most maxFindings, of which the oldest goes first.
func (t *track) add(now clock.Millis, r Report) bool {
	const maxFindings = 2 * proberCount
	fresh := finding{from: r.from, down: r.down, at: now - r.age}
	for i := range t.findings {
		if t.findings[i].from != r.from {
			continue
		}
		if t.findings[i].at >= fresh.at {
			return false
		}
		t.findings[i] = fresh
		return true
	}
	if len(t.findings) >= maxFindings {
		slices.SortFunc(t.findings, func(a, b finding) int { return cmp.Compare(a.at, b.at) })
		t.findings = slices.Delete(t.findings, 0, 1)
	}
	t.findings = append(t.findings, fresh)
	return true
}

func (m *Monitor) track(now clock.Millis, id flow.TargetID) *track {
	t, ok := m.tracks[id]
	if !ok {
		t = &track{}
		m.tracks[id] = t
	}
	t.touched = now
	return t
}

// Tick ends what has run out and returns the targets that take no new flows, sorted.
// It reports whether verdicts changed.
func (m *Monitor) Tick(now clock.Millis) (ejected []flow.TargetID, changed bool) {
	for id, t := range m.tracks {
		m.expire(now, id, t)
	}
	if m.dirty && m.snapshot != nil {
		changed = m.judge(now)
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

func (m *Monitor) expire(now clock.Millis, id flow.TargetID, t *track) {
	fresh := slices.DeleteFunc(t.findings, func(f finding) bool { return now-f.at > reportLife })
	if len(fresh) != len(t.findings) {
		m.dirty = true
	}
	t.findings = fresh
	if t.passive.tick(now) {
		m.dirty = true
	}
	if t.passive.isGood && !t.passive.answers(now) {
		t.passive.isGood = false
		m.dirty = true
	}
	life := idleLife
	if t.passive.ejections > 0 {
		life = badLife
	}
	if now-t.touched > life && !t.passive.down && len(t.findings) == 0 {
		delete(m.tracks, id)
	}
}

// Verdicts returns the suspects sorted by target.
func (m *Monitor) Verdicts() []Verdict {
	var verdicts []Verdict
	for _, v := range m.verdicts {
		verdicts = append(verdicts, *v)
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return cmp.Compare(a.id, b.id) })
	return verdicts
}
