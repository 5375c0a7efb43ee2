package inband

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// Limits for probes of targets.
const (
	// targetProbeInterval is the least time between two probes of a target by this VM.
	targetProbeInterval = 400 * clock.Millisecond
	// minContactInterval is the time after which the first contact with a target that did not answer
	// is tried again. It doubles each time, up to maxContactInterval.
	minContactInterval = clock.Second
	maxContactInterval = 32 * clock.Second
	// maxContactScan limits how many targets one call of FirstContact checks.
	maxContactScan = 64
	// maxControls is how many other targets are asked if a target does not answer a probe.
	maxControls = 2
	// maxControlAttempts limits the random choices of these targets.
	maxControlAttempts = 16
)

// isProbeDue reports whether the target should be probed: there are recent signs, of this VM or
// another one, that are newer than the newest outcome, or another VM's probe was silent, which one of this
// VM would confirm.
func (b *Backend) isProbeDue(now clock.Millis) bool {
	p := &b.probe
	if p.isOut || now < p.nextAt || b.target.State == Gone || p.isProof(now) {
		return false
	}
	if p.isSilent(now) {
		return !p.hasOwnSilence && !p.isConfirmed
	}
	newest, hasSign := b.evidence.newestSign()
	isAnswered := p.outcome != "" && newest <= p.sentAt
	return hasSign && !isAnswered && now-newest <= timeoutLifetime
}

// isPathProbeDue reports whether to probe an unresponsive target of another domain, to know whether this VM
// reaches it. One that it did not reach is probed again before that outcome ends, while flows depend on it.
func (e *Engine) isPathProbeDue(now clock.Millis, b *Backend) bool {
	p := &b.probe
	if p.isOut || now < p.nextAt || !b.isExpectedToRun(now) {
		return false
	}
	if e.isUnreachable(now, b) {
		return now-p.pathSilentAt >= outcomeLifetime/2 && e.hasFlowsTo(b.target.Domain)
	}
	return b.evidence.isRecentlyUnresponsive(now)
}

// SuspectsToProbe returns the ids of the targets that should be probed now, ordered by id. isResponsible
// selects the targets of this VM's domain that it probes. Unresponsive targets of other domains are probed
// by each VM, as each has its own way to them. Those that this VM has not reached lately come last, the one that was
// probed longest ago first, so that in a large domain they leave room for the others.
func (e *Engine) SuspectsToProbe(now clock.Millis, isResponsible func(id string) bool) []string {
	var ids []string
	var again []*Backend
	for _, b := range e.watchlist.backends {
		switch {
		case !e.shouldProbe(now, b) || e.isLocal(b) && !isResponsible(b.target.ID) && !b.awaitsConfirmation(now):
		case e.isUnreachable(now, b):
			again = append(again, b)
		default:
			ids = append(ids, b.target.ID)
		}
	}
	slices.SortStableFunc(again, func(a, b *Backend) int { return cmp.Compare(a.probe.pathSilentAt, b.probe.pathSilentAt) })
	for _, b := range again {
		ids = append(ids, b.target.ID)
	}
	return ids
}

// awaitsConfirmation reports whether only one VM has told that its probe of the target was silent, for longer than the
// second of the two that probe it takes to confirm that, while flows here fall silent. A VM that does not probe the target
// otherwise does so then, as the second one may be away.
func (b *Backend) awaitsConfirmation(now clock.Millis) bool {
	p := &b.probe
	return p.isSilent(now) && !p.isConfirmed && now-p.sentAt >= targetProbeInterval && b.evidence.isRecentlyUnresponsive(now)
}

func (e *Engine) isLocal(b *Backend) bool { return b.target.Domain == e.options.Domain }

func (e *Engine) shouldProbe(now clock.Millis, b *Backend) bool {
	if e.isLocal(b) {
		return b.isProbeDue(now)
	}
	return e.isPathProbeDue(now, b)
}

// StartProbe starts the probe of a suspected target, whose outcome is passed to RecordProbe. It
// returns nil if the target need not be probed any more.
func (e *Engine) StartProbe(now clock.Millis, id string) *TargetProbe {
	b := e.byID[id]
	if b == nil || !e.shouldProbe(now, b) {
		return nil
	}
	cause, since := CauseTimeout, b.evidence.unresponsiveSince
	switch {
	case b.evidence.isRecentlyUnresponsive(now):
	case b.probe.isSilent(now):
		cause, since = CauseSilence, b.probe.sentAt
	case b.probe.hasSilentPath(now):
		cause, since = CauseSilence, b.probe.pathSilentAt
	default:
		cause = CauseReport
		since, _ = b.evidence.reports.newest()
	}
	return e.startProbe(now, b, cause, now-since)
}

func (e *Engine) startProbe(now clock.Millis, b *Backend, cause ProbeCause, suspectedFor clock.Millis) *TargetProbe {
	b.probe.isOut = true
	b.probe.nextAt = now + targetProbeInterval
	return &TargetProbe{
		ID:           b.target.ID,
		StartedAtMS:  b.target.StartedAtMS,
		Address:      b.target.Address,
		Controls:     e.controls(b),
		Cause:        cause,
		SuspectedFor: suspectedFor,
	}
}

// controls returns the addresses of other targets of this VM's domain that have answered packets or probes
// and are not suspected. If one of them answers while the probed target does not, this VM's own link works.
func (e *Engine) controls(probed *Backend) []netip.AddrPort {
	var chosen []netip.AddrPort
	for range min(maxControlAttempts, 2*len(e.local)) {
		b := e.local[e.random.IntN(len(e.local))]
		if b == probed || !b.isControl() || !e.isRouted(b) {
			continue
		}
		chosen = append(chosen, b.target.Address)
		if len(chosen) == maxControls {
			break
		}
	}
	return chosen
}

// isRouted reports whether a route leads to the target's service. The entry of another one may name nothing to use.
func (e *Engine) isRouted(b *Backend) bool { return e.routedServices[b.target.Service] }

// DomainOf returns the failure domain of a target, or an empty string if it is not known.
func (e *Engine) DomainOf(id string) string {
	if b := e.byID[id]; b != nil {
		return b.target.Domain
	}
	return ""
}

// isControl reports whether the target is expected to accept connections.
func (b *Backend) isControl() bool {
	return (b.probe.hasAnswered || b.evidence.hasAnswer) && !b.evidence.isUnresponsive() && b.target.State == Serving
}

// FirstContact returns a probe of a target of this VM's domain that is not known to answer
// probes, or nil. Once it has answered, a later refusal or silence means something. isResponsible selects
// the targets that this VM probes; others are left to other VMs. Each call checks a limited number.
func (e *Engine) FirstContact(now clock.Millis, isResponsible func(id string) bool) *TargetProbe {
	for range min(maxContactScan, len(e.local)) {
		e.contactIndex = (e.contactIndex + 1) % len(e.local)
		b := e.local[e.contactIndex]
		p := &b.probe
		if p.hasAnswered || p.isOut || now < p.nextAt || b.target.State != Serving || !e.isRouted(b) || !isResponsible(b.target.ID) {
			continue
		}
		p.contactInterval = min(max(minContactInterval, 2*p.contactInterval), maxContactInterval)
		probe := e.startProbe(now, b, CauseFirstContact, 0)
		p.nextAt = now + p.contactInterval + e.jitter()
		return probe
	}
	return nil
}
