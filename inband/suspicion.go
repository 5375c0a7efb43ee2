package inband

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
)

// maxSuspicions is the number of suspicions that fit into one message.
const maxSuspicions = 9

// Suspicion is a VM's report to other VMs about a target that does not answer it.
type Suspicion struct {
	ID              string `json:"id"`
	StartedAtMS     int64  `json:"born"`               // start time of the target in Unix milliseconds
	OpeningTimeouts int    `json:"openings,omitempty"` // openings that timed out since the target last answered
	DataTimeouts    int    `json:"data,omitempty"`     // flows whose data timed out since then
}

// report converts the suspicion to the form kept by its receiver. VMs of earlier versions send no
// numbers.
func (s *Suspicion) report(now clock.Millis, from netip.AddrPort) report {
	return report{from: from, at: now, hasOpening: s.OpeningTimeouts > 0 || s.DataTimeouts == 0}
}

// isIsolatedFailure reports whether most targets used by this VM in its own failure domain
// answer. If they do not, the VM or its link is the likely cause.
func (e *Engine) isIsolatedFailure() bool {
	unresponsive := 0
	for _, b := range e.watchlist.backends {
		if b.target.Domain == e.options.Domain && b.seemsUnresponsive() {
			unresponsive++
		}
	}
	return unresponsive <= 1 || 2*unresponsive <= e.usedLocalTargets()
}

// usedLocalTargets counts the targets of the own failure domain that have flows of this VM or
// seem unresponsive.
func (e *Engine) usedLocalTargets() int {
	used := 0
	for _, b := range e.byID {
		if b.target.Domain == e.options.Domain && (b.flows > 0 || b.seemsUnresponsive()) {
			used++
		}
	}
	return used
}

// seemsUnresponsive reports whether an opening, or the data of several flows, timed out.
func (b *Backend) seemsUnresponsive() bool {
	return b.evidence.openings > 0 || b.evidence.data >= minUnresponsiveFlows
}

// HasNewSuspicions reports whether a target timed out since the last TakeSuspicions.
func (e *Engine) HasNewSuspicions() bool { return e.hasNewSuspicions }

// Suspects returns the number of targets that did not answer openings of this VM.
func (e *Engine) Suspects() int {
	count := 0
	for _, b := range e.watchlist.backends {
		if b.evidence.openings > 0 && b.target.State != Gone {
			count++
		}
	}
	return count
}

// TakeSuspicions returns the suspicions not yet reported to the other VMs, at most as many as
// fit into one message. It returns nothing during hold-off or while most targets in the own
// failure domain are unresponsive, as this VM may then be at fault.
func (e *Engine) TakeSuspicions(now clock.Millis) []Suspicion {
	e.hasNewSuspicions = false
	if now < e.holdOffUntil || !e.isIsolatedFailure() {
		return nil
	}
	var all []Suspicion
	for _, b := range e.watchlist.backends {
		openings, data := b.evidence.openings, b.evidence.data
		if b.target.State == Gone || openings+data <= b.evidence.reported || len(all) == maxSuspicions {
			continue
		}
		b.evidence.reported = openings + data
		all = append(all, Suspicion{ID: b.target.ID, StartedAtMS: b.target.StartedAtMS, OpeningTimeouts: openings, DataTimeouts: data})
	}
	return all
}

// ReceiveSuspicions adds suspicions reported by a VM of the given failure domain. They keep new flows away
// if that VM is in this VM's own domain, and so reaches the target by the same path, or in the target's domain.
// Those of other VMs about targets of this VM's domain cause a probe only; the rest are ignored.
func (e *Engine) ReceiveSuspicions(now clock.Millis, from netip.AddrPort, domain string, suspicions []Suspicion) {
	for _, s := range suspicions {
		b := e.byID[s.ID]
		if b == nil || b.target.StartedAtMS != s.StartedAtMS {
			continue
		}
		isNear := domain == e.options.Domain || domain == b.target.Domain
		if !isNear && !e.isLocal(b) {
			continue
		}
		r := s.report(now, from)
		r.hasOpening = r.hasOpening && isNear
		b.evidence.mergeReport(r, e.jitter())
		e.watchTarget(b)
	}
}

// HoldOff starts a hold-off: for holdOffTime this VM resets no flows and sends no reports. It is
// called after a pause of the process.
func (e *Engine) HoldOff(now clock.Millis) { e.holdOffUntil = now + holdOffTime }
