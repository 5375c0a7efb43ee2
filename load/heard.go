package load

import (
	"iter"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

const (
	// freshTime is how long a report counts in full: two intervals between reports.
	freshTime = clock.Second
	// ReportLifetime is the age at which a report counts for nothing. Its weight falls until then, so that
	// the belief changes bit by bit when a VM is heard no more.
	ReportLifetime = 2500 * clock.Millisecond
	// maxReports limits the reports that are kept. More of them would hardly tell more of all VMs.
	maxReports = 32
)

// Heard keeps the newest report of each of some other VMs of the own failure domain. The zero value is ready
// for use.
type Heard struct {
	reports []heardReport
}

type heardReport struct {
	from   netip.AddrPort
	at     clock.Millis
	report Report
}

// Add keeps the report of a VM in place of its previous one, or of the oldest one if there are many.
func (h *Heard) Add(now clock.Millis, from netip.AddrPort, r Report) {
	added := heardReport{from: from, at: now, report: r}
	oldest := 0
	for i := range h.reports {
		if h.reports[i].from == from {
			h.reports[i] = added
			return
		}
		if h.reports[i].at < h.reports[oldest].at {
			oldest = i
		}
	}
	if len(h.reports) < maxReports {
		h.reports = append(h.reports, added)
		return
	}
	h.reports[oldest] = added
}

// Remove removes the report of a VM.
func (h *Heard) Remove(from netip.AddrPort) {
	h.reports = slices.DeleteFunc(h.reports, func(r heardReport) bool { return r.from == from })
}

// Forget forgets all reports.
func (h *Heard) Forget() { h.reports = nil }

// All returns the reports that count, with their weights.
func (h *Heard) All(now clock.Millis) iter.Seq2[*Report, float64] {
	return func(yield func(*Report, float64) bool) {
		for i := range h.reports {
			weight := weightAt(now - h.reports[i].at)
			if weight > 0 && !yield(&h.reports[i].report, weight) {
				return
			}
		}
	}
}

// Weight returns the sum of the weights of all reports: about how many VMs are known.
func (h *Heard) Weight(now clock.Millis) float64 {
	sum := 0.0
	for _, weight := range h.All(now) {
		sum += weight
	}
	return sum
}

// VMs returns how many VMs were heard within the lifetime of a report.
func (h *Heard) VMs(now clock.Millis) int {
	count := 0
	for range h.All(now) {
		count++
	}
	return count
}

// Age returns the mean age of the reports that count, or ReportLifetime if there are none.
func (h *Heard) Age(now clock.Millis) clock.Millis {
	sum, count := clock.Millis(0), clock.Millis(0)
	for i := range h.reports {
		if age := now - h.reports[i].at; age < ReportLifetime {
			sum, count = sum+age, count+1
		}
	}
	if count == 0 {
		return ReportLifetime
	}
	return sum / count
}

// weightAt returns the weight of a report by its age.
func weightAt(age clock.Millis) float64 {
	return min(1, max(0, float64(ReportLifetime-age)/float64(ReportLifetime-freshTime)))
}
