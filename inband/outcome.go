package inband

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/outcome"
	"github.com/almondflow/almondflow/shedding"
)

const (
	// minFailedRetransmits is the number of retransmissions after which a request counts as
	// failed, provided the target answered others meanwhile. Otherwise the target may be dead,
	// which the next opening shows.
	minFailedRetransmits = 2
	// refusalTimeout is the time without a packet after an opening at which the target counts as
	// having refused the flow. Only the client sees the refusal, but without one it would have
	// retransmitted the opening.
	refusalTimeout = 400 * clock.Millisecond
	// minAbortTimeout is the time without an answer or a retransmission of data at which the target
	// counts as having aborted the flow, which only the client sees, unless its answers take long.
	minAbortTimeout = 600 * clock.Millisecond
	// responseTimeout is the time without a packet after which a response counts as complete.
	responseTimeout = 300 * clock.Millisecond
	// maxOutcomeReports is the number of outcome reports that fit into one message.
	maxOutcomeReports = 14
)

// OutcomeReport reports the outcomes of a target's requests to other VMs. It is sent for targets
// with failed requests.
type OutcomeReport struct {
	ID          string `json:"id"`
	StartedAtMS int64  `json:"born"`           // start time of the target in Unix milliseconds
	Succeeded   int    `json:"good,omitempty"` // requests that succeeded since the last report
	Failed      int    `json:"bad"`            // requests that failed since the last report
}

// outcomeCounts counts the outcomes of a target's requests.
type outcomeCounts struct{ succeeded, failed int32 }

// recordOutcome records whether the flow's current request succeeded, once per request.
func (e *Engine) recordOutcome(now clock.Millis, f *flow, isSuccess bool) {
	if f.hasOutcome {
		return
	}
	f.hasOutcome = true
	b, succeeded, failed := f.backend, 0, 1
	if isSuccess {
		succeeded, failed = 1, 0
	}
	b.stats.Add(now, float64(succeeded), float64(failed))
	b.pool.stats.Add(now, float64(succeeded), float64(failed))
	b.unreported.succeeded += int32(succeeded)
	b.unreported.failed += int32(failed)
	if failed > 0 {
		e.watchTarget(b)
	}
}

// recordResponse records the outcome of the flow's current request from the size of its
// response, once the response is complete.
func (e *Engine) recordResponse(now clock.Millis, f *flow) {
	if f.hasOutcome || f.responseBytes == 0 {
		return
	}
	sizes := e.sizes[f.key.Destination]
	if sizes == nil {
		sizes = &outcome.Sizes{}
		e.sizes[f.key.Destination] = sizes
	}
	if sizes.Observe(f.responseBytes) {
		e.recordShortResponse(now, f)
		return
	}
	if e.options.RefusesByUrgency {
		e.observeAnswer(now, f)
	}
	e.recordOutcome(now, f, true)
}

// recordShortResponse records that the flow's current request was answered with an error.
func (e *Engine) recordShortResponse(now clock.Millis, f *flow) {
	if !f.hasOutcome && e.options.SharesLoad && f.backend.believed().MayShedByError() {
		e.recordShed(f)
		return
	}
	e.recordOutcome(now, f, false)
}

// recordNoResponse records that the flow's current request is not answered, though others are.
func (e *Engine) recordNoResponse(now clock.Millis, f *flow) {
	if !f.hasOutcome && e.options.SharesLoad && f.backend.believed().MayShedBySilence() {
		e.recordShed(f)
		return
	}
	e.recordOutcome(now, f, false)
}

// recordShed records that the target shed the flow's current request, which counts neither as a success nor as
// a failure.
func (e *Engine) recordShed(f *flow) {
	f.hasOutcome = true
	if e.options.RefusesByUrgency {
		e.observeShed(f)
	}
	e.shedRequests++
}

// TakeShedRequests returns the number of requests that full targets shed since the last call.
func (e *Engine) TakeShedRequests() int64 {
	count := e.shedRequests
	e.shedRequests = 0
	return count
}

// believed returns what is believed of the work at the target, and at its pool in its failure domain.
func (b *Backend) believed() *shedding.Target {
	t := &shedding.Target{Work: b.work(), Slots: b.target.Slots}
	for _, p := range b.pool.domains() {
		if p.ID.Domain == b.target.Domain {
			t.Pool = p
		}
	}
	return t
}

// recordIdleOutcome records the outcome of a request whose client sends nothing more.
func (e *Engine) recordIdleOutcome(now clock.Millis, f *flow) {
	idle := now - f.seenAt
	switch {
	case f.hasOutcome || f.phase == ended:
	case f.phase == opening && idle >= refusalTimeout:
		e.recordOutcome(now, f, false)
		e.stopMeter(f) // the target does not work on it
	case f.phase == open && f.isBusy && idle >= e.abortTimeout(now, f.backend):
		e.recordNoResponse(now, f)
		e.stopMeter(f)
	case f.phase == open && !f.isBusy && idle >= responseTimeout:
		e.recordResponse(now, f)
	}
}

// abortTimeout returns the time without a packet at which a target counts as having aborted a flow. Where load
// is shared, requests of a target whose answers take long count as its work for longer.
func (e *Engine) abortTimeout(now clock.Millis, b *Backend) clock.Millis {
	if !e.options.SharesLoad {
		return minAbortTimeout
	}
	return max(minAbortTimeout, 2*clock.Millis(b.latency.Value(now)))
}

// beginRequest records that the flow starts a new request.
func (e *Engine) beginRequest(now clock.Millis, f *flow) {
	e.recordResponse(now, f)
	if f.hasRequested {
		e.recordSlowStart(now, f.backend) // the opening has counted for the first one
	}
	f.hasRequested = true
	f.responseBytes, f.hasOutcome = 0, false
}

// TakeOutcomes returns the unreported outcomes of targets with failed requests, at most as
// many as fit into one message, those with most failures first. It returns nothing during
// hold-off or while most targets in the own failure domain are unresponsive, as this VM may then
// be at fault.
func (e *Engine) TakeOutcomes(now clock.Millis) []OutcomeReport {
	if now < e.holdOffUntil || !e.isIsolatedFailure() {
		return nil
	}
	var all []OutcomeReport
	for _, b := range e.watchlist.backends {
		if b.unreported.failed > 0 && b.target.State != Gone {
			all = append(all, OutcomeReport{ID: b.target.ID, StartedAtMS: b.target.StartedAtMS, Succeeded: int(b.unreported.succeeded), Failed: int(b.unreported.failed)})
		}
	}
	slices.SortStableFunc(all, func(a, b OutcomeReport) int { return cmp.Compare(b.Failed, a.Failed) })
	all = all[:min(len(all), maxOutcomeReports)]
	for _, r := range all {
		e.byID[r.ID].unreported = outcomeCounts{}
	}
	return all
}

// ReceiveOutcomes adds outcomes reported by a VM of the given failure domain. They are ignored
// unless that VM is in this VM's own domain, and so reaches the target by the same path, or in
// the target's domain.
func (e *Engine) ReceiveOutcomes(now clock.Millis, domain string, reports []OutcomeReport) {
	for _, r := range reports {
		b := e.byID[r.ID]
		if b == nil || b.target.StartedAtMS != r.StartedAtMS {
			continue
		}
		if domain == e.options.Domain || domain == b.target.Domain {
			b.stats.Add(now, float64(r.Succeeded), float64(r.Failed))
			e.watchTarget(b)
		}
	}
}
