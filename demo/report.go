package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is what a run of the demo counted.
type Report struct {
	// FeedsOpen is the number of feeds that delivered at least one event.
	FeedsOpen int `json:"feeds_open"`
	// FeedsBroken counts open feeds that failed, skipped an event or fell silent.
	FeedsBroken int `json:"feeds_broken"`
	// HoldsSent is the number of holds that clients sent.
	HoldsSent int `json:"holds_sent"`
	// HoldsRun is the number of holds that at least one target ran.
	HoldsRun int `json:"holds_run"`
	// HoldsDoubled is the number of holds that were run more than once.
	HoldsDoubled int `json:"holds_doubled"`
	// HoldsRefused is the number of holds that clients saw refused as not run.
	HoldsRefused int `json:"holds_refused"`
	// HoldsRefusedButRun is the number of refused holds that a target ran all the same.
	HoldsRefusedButRun int `json:"holds_refused_but_run"`
	// UploadsSent is the number of photo uploads that clients began.
	UploadsSent int `json:"uploads_sent"`
	// UploadsWhole is the number of uploads whose digest came back right.
	UploadsWhole int `json:"uploads_whole"`
	// Misrouted counts packets and answers that crossed from one service to another.
	Misrouted int64 `json:"misrouted"`
	// Imbalance is the largest number of open connections of a serving target over the
	// mean, per unit of weight, in the worst sample.
	Imbalance float64 `json:"imbalance"`
	// ControlBytesPerSecondPerVM is the control traffic that an entry VM sent, in bytes.
	ControlBytesPerSecondPerVM float64 `json:"control_bytes_per_second_per_vm"`
	// ConvergeMilliseconds is the longest span from the publication of a version until
	// every entry VM had it in force.
	ConvergeMilliseconds int64 `json:"converge_milliseconds"`

	// lateWork is the number of connections that a leaving target got too late.
	lateWork int64
	broken   []string
}

// Broken returns one line for each promise that was broken, and nothing when all held.
func (r *Report) Broken() []string { return r.broken }

func (r *Report) judge() {
	check := func(holds bool, format string, arguments ...any) {
		if !holds {
			r.broken = append(r.broken, fmt.Sprintf(format, arguments...))
		}
	}
	check(r.FeedsOpen > 0, "no feed was opened")
	check(r.FeedsBroken == 0, "%d feeds broken", r.FeedsBroken)
	check(r.HoldsRun > 0, "no hold was run")
	check(r.HoldsDoubled == 0, "%d holds run more than once", r.HoldsDoubled)
	check(r.HoldsRefusedButRun == 0, "%d holds refused as not run, but run", r.HoldsRefusedButRun)
	check(r.Misrouted == 0, "%d packets or answers misrouted", r.Misrouted)
	check(r.lateWork == 0, "%d connections to a leaving target after %v", r.lateWork, leavingDeadline)
	check(r.UploadsSent > 0, "no upload was sent")
	check(r.UploadsWhole == r.UploadsSent, "%d of %d uploads not whole", r.UploadsSent-r.UploadsWhole, r.UploadsSent)
}

// WriteTable writes the counts as a table for people.
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
