package inband

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
)

const (
	// avoidTime is how long the report of another VM keeps new flows from a target. It is
	// longer than the longest interval between two retries, after which the report is renewed.
	avoidTime = 6 * clock.Second
	// signLifetime is how long the report of another VM counts as a sign that a target is dead.
	signLifetime = 2 * clock.Second
	// maxReporters is the number of VMs whose reports on a target are kept.
	maxReporters = 3
)

// report is another VM's suspicion of a target, as its receiver keeps it.
type report struct {
	from     netip.AddrPort
	at       clock.Millis
	openings int // openings that timed out there
	data     int // flows whose data timed out there
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
	if latest.openings > 0 {
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

// signs sums the reports younger than lifetime and counts the VMs that sent them.
func (r *reports) signs(now, lifetime clock.Millis) (openings, data, vms int) {
	for _, entry := range r.entries[:r.count] {
		if now-entry.at < lifetime {
			openings += entry.openings
			data += entry.data
			vms++
		}
	}
	return openings, data, vms
}
