package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the counts of a run of the demo. A feed is a long-lived connection on which a
// target pushes events. A hold is a request that may run at most once.
type Report struct {
	// FeedsOpen is the number of feeds to which a target responded.
	FeedsOpen int `json:"feeds_open"`
	// FeedsBroken is the number of open feeds that failed, skipped an event or stalled.
	FeedsBroken int `json:"feeds_broken"`
	// HoldsSent is the number of holds that clients sent.
	HoldsSent int `json:"holds_sent"`
	// HoldsRun is the number of holds that at least one target ran.
	HoldsRun int `json:"holds_run"`
	// HoldsDoubled is the number of holds that were run more than once.
	HoldsDoubled int `json:"holds_doubled"`
	// HoldsRefused is the number of holds that an entry VM refused, and which therefore must not
	// run.
	HoldsRefused int `json:"holds_refused"`
	// HoldsRefusedButRun is the number of refused holds that a target ran.
	HoldsRefusedButRun int `json:"holds_refused_but_run"`
	// UploadsSent is the number of photo uploads that clients started.
	UploadsSent int `json:"uploads_sent"`
	// UploadsWhole is the number of uploads for which the target returned the correct digest.
	UploadsWhole int `json:"uploads_whole"`
	// Misrouted is the number of packets and responses that went to or came from the wrong
	// service.
	Misrouted int64 `json:"misrouted"`
	// Imbalance is the largest number of open connections of a serving target of the booking
	// pool divided by the mean, in the worst sample. All targets have the same weight.
	Imbalance float64 `json:"imbalance"`
	// ControlBytesPerSecondPerVM is the mean rate of control traffic that an entry VM sent.
	ControlBytesPerSecondPerVM float64 `json:"control_bytes_per_second_per_vm"`
	// ConvergeMilliseconds is the longest time from the publication of a version until every
	// entry VM used it.
	ConvergeMilliseconds int64 `json:"converge_milliseconds"`

	// lateConnections is the number of connections to a leaving target after leavingDeadline.
	lateConnections int64
	violations      []string
}

// Violations returns a line for each violated guarantee.
func (r *Report) Violations() []string { return r.violations }

// findViolations fills the lines that Violations returns.
func (r *Report) findViolations() {
	check := func(ok bool, format string, arguments ...any) {
		if !ok {
			r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
		}
	}
	check(r.FeedsOpen > 0, "no feed was opened")
	check(r.FeedsBroken == 0, "%d feeds broken", r.FeedsBroken)
	check(r.HoldsRun > 0, "no hold was run")
	check(r.HoldsDoubled == 0, "%d holds run more than once", r.HoldsDoubled)
	check(r.HoldsRefusedButRun == 0, "%d holds refused but run", r.HoldsRefusedButRun)
	check(r.Misrouted == 0, "%d packets or responses misrouted", r.Misrouted)
	check(r.lateConnections == 0, "%d connections to a leaving target after %v", r.lateConnections, leavingDeadline)
	check(r.UploadsSent > 0, "no upload was sent")
	check(r.UploadsWhole == r.UploadsSent, "%d of %d uploads incomplete", r.UploadsSent-r.UploadsWhole, r.UploadsSent)
}

// WriteTable writes the counts as a plain-text table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := []struct {
		name  string
		value any
	}{
		{"feeds open", r.FeedsOpen},
		{"feeds broken", r.FeedsBroken},
		{"holds sent", r.HoldsSent},
		{"holds run", r.HoldsRun},
		{"holds doubled", r.HoldsDoubled},
		{"holds refused", r.HoldsRefused},
		{"holds refused but run", r.HoldsRefusedButRun},
		{"uploads sent", r.UploadsSent},
		{"uploads whole", r.UploadsWhole},
		{"misrouted", r.Misrouted},
		{"imbalance (largest over mean)", fmt.Sprintf("%.2f", r.Imbalance)},
		{"control bytes/s per entry VM", fmt.Sprintf("%.0f", r.ControlBytesPerSecondPerVM)},
		{"converge ms", r.ConvergeMilliseconds},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%v\t\n", row.name, row.value)
	}
	return t.Flush()
}
