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
	from       netip.AddrPort
	at         clock.Millis
	hasOpening bool      // an opening timed out there
	openings   clientSet // clients of the openings that timed out there
	data       clientSet // clients of the data that timed out there
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

// reportedSigns are the signs that several other VMs reported together.
type reportedSigns struct {
	openings, data clientSet
	vms            int // VMs that sent the reports
}

// signs combines the reports younger than lifetime.
func (r *reports) signs(now, lifetime clock.Millis) reportedSigns {
	var all reportedSigns
	for i := range r.entries[:r.count] {
		entry := &r.entries[i]
		if now-entry.at < lifetime {
			all.openings.merge(&entry.openings)
			all.data.merge(&entry.data)
			all.vms++
		}
	}
	return all
}
