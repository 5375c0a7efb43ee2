package inband

import (
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
)

// Limits for detecting a partition from another failure domain.
const (
	// probeTimeout is how long the VMs of a domain have to answer a probe.
	probeTimeout = 120 * clock.Millisecond
	// probeInterval is the time between unanswered probes.
	probeInterval = 400 * clock.Millisecond
	// minPartitionTargets is the number of targets of a partitioned domain that must be unresponsive, and
	// silent to probes of this VM. If only a single VM was probed there, which may have failed as well,
	// the number is minPartitionTargetsSingleVM.
	minPartitionTargets         = 2
	minPartitionTargetsSingleVM = 3
	// timeoutMemory is how long a domain's timeouts count as of one cause.
	timeoutMemory = 5 * clock.Second
)

// link is what this VM knows of the path to another failure domain. Unresponsive targets may be
// down; if the VMs of their domain are unresponsive as well, the domain is partitioned.
type link struct {
	unresponsiveSince clock.Millis // when the first unanswered packet was sent
	lastTimeoutAt     clock.Millis // when the last unanswered packet was detected
	isUnresponsive    bool
	firstProbeAt      clock.Millis // first of the unanswered probes that followed each other
	lastProbeAt       clock.Millis
	isProbed          bool
	probedVMs         int  // number of VMs probed
	wasPartitioned    bool // as of the last TakeCutChanges
}

// hasUnansweredProbe reports whether the domain's VMs have not answered the probes that were sent lately.
func (l *link) hasUnansweredProbe(now clock.Millis) bool {
	return l.isProbed && now-l.lastProbeAt <= outcomeLifetime
}

// minTargets returns the number of unresponsive targets required for a partition.
func (l *link) minTargets() int {
	if l.probedVMs == 1 {
		return minPartitionTargetsSingleVM
	}
	return minPartitionTargets
}

// recordTimeout records that one of the domain's targets did not answer a packet. Timeouts that are
// too old to have the same cause are forgotten, unless probes have been unanswered since.
func (l *link) recordTimeout(now, sentAt clock.Millis) {
	isStale := !l.hasUnansweredProbe(now) && now-l.lastTimeoutAt > timeoutMemory
	if !l.isUnresponsive || isStale {
		*l = link{unresponsiveSince: sentAt, isUnresponsive: true, wasPartitioned: l.wasPartitioned}
	}
	l.lastTimeoutAt = now
}

// recordAnswer records that one of the domain's targets answered a packet sent at sentAt.
func (l *link) recordAnswer(sentAt clock.Millis) {
	if sentAt >= l.unresponsiveSince {
		*l = link{wasPartitioned: l.wasPartitioned}
	}
}

// isPartitioned reports whether the domain's VMs did not answer a recent probe in time.
func (l *link) isPartitioned(now clock.Millis) bool {
	return l.isUnresponsive && l.hasUnansweredProbe(now) && now-l.firstProbeAt >= probeTimeout
}

// DomainsToProbe returns the failure domains whose VMs should be probed now, in order of name.
func (e *Engine) DomainsToProbe(now clock.Millis) []string {
	var domains []string
	for domain, l := range e.links {
		if l.isUnresponsive && (!l.isProbed || now-l.lastProbeAt >= probeInterval) && e.unresponsiveTargets(now, domain) >= minPartitionTargets {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// MarkProbed records that a number of VMs in a domain were probed.
func (e *Engine) MarkProbed(now clock.Millis, domain string, vms int) {
	l := e.links[domain]
	if l == nil {
		return
	}
	if !l.hasUnansweredProbe(now) {
		l.firstProbeAt, l.isProbed = now, true
	}
	l.lastProbeAt, l.probedVMs = now, vms
}

// MarkReachable records a message received directly from a VM of a domain.
func (e *Engine) MarkReachable(domain string) {
	if l := e.links[domain]; l != nil {
		l.isProbed = false
	}
}

// CutChange tells that a failure domain began or ceased to seem cut off from this VM.
type CutChange struct {
	Domain  string
	IsCut   bool
	Targets int // that were silent to packets and probes of this VM
	VMs     int // that were probed last
}

// TakeCutChanges returns the changes since the last call, in order of the domains' names.
func (e *Engine) TakeCutChanges(now clock.Millis) []CutChange {
	var all []CutChange
	for domain, l := range e.links {
		isCut := e.IsPartitioned(now, domain)
		if isCut == l.wasPartitioned {
			continue
		}
		l.wasPartitioned = isCut
		all = append(all, CutChange{Domain: domain, IsCut: isCut, Targets: e.unreachableTargets(now, domain), VMs: l.probedVMs})
	}
	slices.SortFunc(all, func(a, b CutChange) int { return strings.Compare(a.Domain, b.Domain) })
	return all
}

// forgetUnansweredProbes forgets which VMs have not answered, as their answers may wait to be read.
func (e *Engine) forgetUnansweredProbes() {
	for _, l := range e.links {
		l.isProbed = false
	}
}

// IsPartitioned reports whether this VM appears to be partitioned from a failure domain: several
// of its targets are unresponsive and do not answer probes of this VM, and no VM probed there does.
func (e *Engine) IsPartitioned(now clock.Millis, domain string) bool {
	l := e.links[domain]
	return l != nil && l.isPartitioned(now) && e.unreachableTargets(now, domain) >= l.minTargets()
}

// unresponsiveTargets returns how many targets of a domain did not answer packets, of those that are
// expected to run.
func (e *Engine) unresponsiveTargets(now clock.Millis, domain string) int {
	return e.countWatched(func(b *Backend) bool { return b.target.Domain == domain && e.seemsCutOff(now, b) })
}

// unreachableTargets returns how many of the unresponsive targets of a domain did not answer a probe of
// this VM either. Silence of clients alone is no sign that a domain is cut off, as their own links
// explain it.
func (e *Engine) unreachableTargets(now clock.Millis, domain string) int {
	return e.countWatched(func(b *Backend) bool { return b.target.Domain == domain && e.isUnreachable(now, b) })
}

func (e *Engine) countWatched(isCounted func(*Backend) bool) int {
	count := 0
	for _, b := range e.watchlist.backends {
		if isCounted(b) {
			count++
		}
	}
	return count
}

// seemsCutOff reports whether a target of another domain has been unresponsive since the domain's first
// timeout, and lately, though it is expected to run.
func (e *Engine) seemsCutOff(now clock.Millis, b *Backend) bool {
	if !b.evidence.isUnresponsive() { // the usual case of each packet
		return false
	}
	l := e.links[b.target.Domain]
	if l == nil || !b.isExpectedToRun(now) || b.evidence.lastTimeoutAt < l.unresponsiveSince {
		return false
	}
	return b.evidence.isRecentlyUnresponsive(now) || b.probe.hasSilentPath(now)
}

// isUnreachable reports whether a target that seems cut off did not answer a recent probe of this VM either.
func (e *Engine) isUnreachable(now clock.Millis, b *Backend) bool {
	return e.seemsCutOff(now, b) && b.probe.hasSilentPath(now) && b.probe.pathSilentAt >= e.links[b.target.Domain].unresponsiveSince
}

// hasFlowsTo reports whether this VM has flows at watched targets of a domain.
func (e *Engine) hasFlowsTo(domain string) bool {
	return e.countWatched(func(b *Backend) bool { return b.target.Domain == domain && b.flows > 0 }) > 0
}

// linkTo returns the link to a target's domain, or nil for this VM's own domain.
func (e *Engine) linkTo(b *Backend) *link {
	domain := b.target.Domain
	if domain == e.options.Domain {
		return nil
	}
	l := e.links[domain]
	if l == nil {
		l = &link{}
		e.links[domain] = l
	}
	return l
}

// recordTimeout records that a flow's target did not answer the flow's newest packet in time.
func (e *Engine) recordTimeout(now clock.Millis, f *flow, isData bool) {
	b := f.backend
	b.evidence.recordTimeout(now, timeout{
		sentAt: f.sentAt, isData: isData, isRefuted: b.probe.isRefuted(f.sentAt),
	}, e.jitter())
	e.watchTarget(b)
	if l := e.linkTo(b); l != nil {
		l.recordTimeout(now, f.sentAt)
	}
	e.hasNewSuspicions = true
}
