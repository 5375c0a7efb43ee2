package inband

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
)

const (
	// avoidTime is how long the report of another VM keeps new flows from a target. It is
	// longer than the longest interval between two retries, after which the report is renewed.
	avoidTime = 6 * clock.Second
	// maxReporters is the number of VMs whose reports on a target are kept.
	maxReporters = 3
)

// report is another VM's suspicion of a target, as its receiver keeps it.
type report struct {
	from       netip.AddrPort
	at         clock.Millis
	hasOpening bool // an opening timed out there, so new flows avoid the target
}

// reports holds the latest report of each of several other VMs about one target.
type reports struct {
	entries    [maxReporters]report
	count      int
	avoidUntil clock.Millis // until when new flows avoid the target
}

// add stores a VM's report in place of its previous one. If there is no room, it replaces the
// oldest report.
func (r *reports) add(latest report) {
	if latest.hasOpening {
		r.avoidUntil = latest.at + avoidTime
	}
	for i := range r.entries[:r.count] {
		if r.entries[i].from == latest.from {
			r.entries[i] = latest
			return
		}
	}
	if r.count < maxReporters {
		r.entries[r.count] = latest
		r.count++
		return
	}
	oldest := 0
	for i := range r.entries {
		if r.entries[i].at < r.entries[oldest].at {
			oldest = i
		}
	}
	r.entries[oldest] = latest
}

// newest returns when the newest report arrived. It reports false if there is none.
func (r *reports) newest() (at clock.Millis, ok bool) {
	for i := range r.entries[:r.count] {
		if i == 0 || r.entries[i].at > at {
			at = r.entries[i].at
		}
	}
	return at, r.count > 0
}

// senders returns the VMs whose reports are kept.
func (r *reports) senders() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, r.count)
	for i := range r.entries[:r.count] {
		all = append(all, r.entries[i].from)
	}
	return all
}
