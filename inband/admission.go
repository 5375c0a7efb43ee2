package inband

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// openingCopiesTime is how long after a client's first opening the last copy of it may reach a VM.
const openingCopiesTime = 1400 * clock.Millisecond

// AdmissionStatus is what an entry VM refuses at one pool, and why.
type AdmissionStatus struct {
	Service        string            `json:"service"`
	AllowedRegions []string          `json:"allowed_regions,omitempty"` // of the routes that the pool is for
	Shares         []admission.Share `json:"shares"`                    // the most urgent first
	ResponseTimeMS float64           `json:"response_time_ms"`
	Slots          int               `json:"slots"`
	Busy           float64           `json:"busy"`
	NewsAgeMS      clock.Millis      `json:"news_age_ms"` // of the other VMs' load
}

// admit returns the target of an opening: best, which the policy chose for it, or one in another failure domain that
// has room, or nil if the opening is refused. reason says which copy of the opening it is.
func (e *Engine) admit(now clock.Millis, reason Reason, route *Route, p *pool, best *Backend) *Backend {
	if !e.options.RefusesByUrgency {
		if e.isRefusedByOwnCount(now, route, p, best) {
			return nil
		}
		return best
	}
	e.noticeCaller(now, route, p)
	if p.admission.IsUpdateDue(now) {
		p.admission.SetPresent(e.present(now, p))
		p.admission.Update(now, e.usableDomains(now, p))
	}
	if !e.mayRefuse(now, p, reason) {
		p.admission.Notice(now, route.Priority)
		return best
	}
	switch p.admission.Decide(now, route.Priority, e.random.Float64(), e.otherDomains(now, p)) {
	case admission.Refused:
		return nil
	case admission.Spilled: // if no target there takes it, it stays: news showed room
		return e.cheapestOr(now, p.remote, best)
	case admission.Kept:
		return e.keep(now, p, best)
	case admission.Admitted:
	}
	return best
}

// mayRefuse reports whether an opening to a pool may be refused or deferred. Pools that refuse by urgency defer copies, but
// not those whose client has waited for a target that got an earlier one. The others refuse first copies only.
func (e *Engine) mayRefuse(now clock.Millis, p *pool, reason Reason) bool {
	if !p.admission.RefusesByUrgency() {
		return e.isFirstCopy(now, reason)
	}
	return reason == Placed || reason == PlacedLate
}

// refuse returns the verdict on an opening that is not admitted. Its client is told by a reset, so that it tries again at
// once, unless another VM may have forwarded a copy: then the opening is only dropped.
func (e *Engine) refuse(now clock.Millis, p *Packet, reason Reason) Verdict {
	if e.options.RefusesByUrgency && !e.isFirstCopy(now, reason) {
		return Verdict{Action: Drop, Reason: Deferred}
	}
	return Verdict{Action: Reset, Reason: Overloaded, Seq: p.Seq}
}

// cheapestOr returns the best of some targets that has no fault and is not full, or another one if there is none.
func (e *Engine) cheapestOr(now clock.Millis, targets []*Backend, other *Backend) *Backend {
	if b := e.cheapest(now, targets, nil); b != nil && e.cost(now, b, false, 0) < fullWeight {
		return b
	}
	return other
}

// otherDomains returns the work at the pool's targets in the other domains that this VM reaches, while openings
// are refused.
func (e *Engine) otherDomains(now clock.Millis, p *pool) []load.DomainPool {
	if !p.admission.IsRefusing() {
		return nil
	}
	return slices.DeleteFunc(e.usableDomains(now, p), func(d load.DomainPool) bool { return d.ID.Domain == e.options.Domain })
}

// isFirstCopy reports whether no VM can have forwarded another copy of an opening: it is the first, and did not
// wait here while the process stood still or started. Sockets take packets before anything reads them, so how long
// an opening waited then is not known.
func (e *Engine) isFirstCopy(now clock.Millis, reason Reason) bool {
	return reason == Placed && now-e.resumedAt >= openingCopiesTime
}

// usableDomains returns the work at the pool's targets in the domains that this VM reaches, if VMs tell each other.
func (e *Engine) usableDomains(now clock.Millis, p *pool) []load.DomainPool {
	if !e.options.SharesLoad {
		return nil
	}
	return slices.DeleteFunc(p.domains(), func(d load.DomainPool) bool {
		return d.Targets == 0 || e.IsPartitioned(now, d.ID.Domain)
	})
}

// setLevels tells the pools' admission of the routes to them.
func (e *Engine) setLevels() {
	if !e.options.RefusesByUrgency {
		return
	}
	levels := map[*pool][]admission.Level{}
	for _, route := range e.routes {
		for _, share := range route.Shares {
			for p := range e.sharedPools(route, share.Service) {
				levels[p] = append(levels[p], admission.Level{
					Priority:      route.Priority,
					TargetLatency: route.TargetLatencyMS,
					Timeout:       route.TimeoutMS,
				})
			}
		}
	}
	for p := range e.allPools() {
		p.admission.SetLevels(levels[p])
	}
}

// AdmissionStatuses returns what is refused at the pools that routes of several priorities share, ordered by service. The
// only level of other pools is refused if it is hopeless; they are listed from then on.
func (e *Engine) AdmissionStatuses() []AdmissionStatus {
	var all []AdmissionStatus
	for p := range e.allPools() {
		shares := p.admission.Shares()
		if len(shares) > 1 || p.admission.HasRefused() {
			all = append(all, newAdmission(p, shares, p.admission.Room()))
		}
	}
	slices.SortFunc(all, func(a, b AdmissionStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), slices.Compare(a.AllowedRegions, b.AllowedRegions))
	})
	return all
}

func newAdmission(p *pool, shares []admission.Share, room admission.Room) AdmissionStatus {
	return AdmissionStatus{
		Service: p.service, AllowedRegions: p.allowedRegions, Shares: shares, ResponseTimeMS: room.ResponseTime,
		Slots: room.Slots, Busy: room.Busy, NewsAgeMS: room.Age,
	}
}
