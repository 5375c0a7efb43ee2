package inband

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// Limits for detecting a partition from another failure domain.
const (
	// probeTimeout is how long the VMs of a domain have to answer a probe.
	probeTimeout = 120 * clock.Millisecond
	// probeInterval is the time between unanswered probes.
	probeInterval = 400 * clock.Millisecond
	// minPartitionTargets is the number of unresponsive targets that a partitioned domain must
	// have, and of clients that found them so. If only a single VM was probed there, which may
	// have failed as well, the number is minPartitionTargetsSingleVM.
	minPartitionTargets         = 2
	minPartitionTargetsSingleVM = 3
)

// link is what this VM knows of the path to another failure domain. Unresponsive targets may be
// down; if the VMs of their domain are unresponsive as well, the domain is partitioned.
type link struct {
	unresponsiveSince clock.Millis // when the first unanswered packet was sent
	lastTimeoutAt     clock.Millis // when the last unanswered packet was detected
	isUnresponsive    bool
	firstProbeAt      clock.Millis // first unanswered probe
	lastProbeAt       clock.Millis
	isProbed          bool
	probedVMs         int // number of VMs probed
}

// minTargets returns the number of unresponsive targets required for a partition.
func (l *link) minTargets() int {
	if l.probedVMs == 1 {
		return minPartitionTargetsSingleVM
	}
	return minPartitionTargets
}

// recordTimeout records that one of the domain's targets did not answer a packet. Timeouts that are
// too old to have the same cause are forgotten, unless a probe has been unanswered since.
func (l *link) recordTimeout(now, sentAt clock.Millis) {
	isStale := !l.isProbed && now-l.lastTimeoutAt > openingTimeoutLifetime
	if !l.isUnresponsive || isStale {
		*l = link{unresponsiveSince: sentAt, isUnresponsive: true}
	}
	l.lastTimeoutAt = now
}

// recordAnswer records that one of the domain's targets answered a packet sent at sentAt.
func (l *link) recordAnswer(sentAt clock.Millis) {
	if sentAt >= l.unresponsiveSince {
		*l = link{}
	}
}

// isPartitioned reports whether the domain's VMs did not answer a probe in time.
func (l *link) isPartitioned(now clock.Millis) bool {
	return l.isUnresponsive && l.isProbed && now-l.firstProbeAt >= probeTimeout
}

// DomainsToProbe returns the failure domains whose VMs should be probed now, in order of name.
func (e *Engine) DomainsToProbe(now clock.Millis) []string {
	var domains []string
	for domain, l := range e.links {
		if l.isUnresponsive && (!l.isProbed || now-l.lastProbeAt >= probeInterval) && e.partitionSigns(now, domain) >= minPartitionTargets {
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
	l.lastProbeAt, l.probedVMs = now, vms
	if !l.isProbed {
		l.firstProbeAt, l.isProbed = now, true
	}
}

// MarkReachable records a message received directly from a VM of a domain.
func (e *Engine) MarkReachable(domain string) {
	if l := e.links[domain]; l != nil {
		l.isProbed = false
	}
}

// IsPartitioned reports whether this VM appears to be partitioned from a failure domain: several
// of its targets and all VMs probed there are unresponsive.
func (e *Engine) IsPartitioned(now clock.Millis, domain string) bool {
	l := e.links[domain]
	return l != nil && l.isPartitioned(now) && e.partitionSigns(now, domain) >= l.minTargets()
}

// partitionSigns returns the number of independent signs that a domain is partitioned: of targets
// that are expected to run and did not answer, each found by another client. A client's own link
// explains the silence of all targets that only this client found silent.
func (e *Engine) partitionSigns(now clock.Millis, domain string) int {
	l := e.links[domain]
	if l == nil {
		return 0
	}
	targets := 0
	var clients clientSet
	for _, b := range e.watchlist.backends {
		if b.target.Domain != domain || !b.evidence.isUnresponsive() || !b.isExpectedToRun(now) || b.evidence.lastTimeoutAt < l.unresponsiveSince {
			continue
		}
		targets++
		clients.merge(&b.evidence.openingClients)
		clients.merge(&b.evidence.dataClients)
	}
	return min(targets, clients.size())
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
		sentAt: f.sentAt, isData: isData, client: clientIDOf(f.key.Client.Addr()), isRefuted: b.probe.isRefuted(f.sentAt),
	}, e.jitter())
	e.watchTarget(b)
	if l := e.linkTo(b); l != nil {
		l.recordTimeout(now, f.sentAt)
	}
	e.hasNewSuspicions = true
}
