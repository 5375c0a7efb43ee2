package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/standin"
	"github.com/almondflow/almondflow/table"
)

// passingReport returns a report without violations.
func passingReport() Report {
	return Report{FeedsOpen: 10, HoldsSent: 20, HoldsRun: 19, HoldsRefused: 1, UploadsSent: 3, UploadsWhole: 3}
}

// TestReportListsViolations guards against a violation that the report does not list.
func TestReportListsViolations(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*Report)
		want   string
	}{
		{"no violation", func(*Report) {}, ""},
		{"feed", func(r *Report) { r.FeedsBroken = 1 }, "1 feeds broken"},
		{"doubled", func(r *Report) { r.HoldsDoubled = 2 }, "2 holds run more than once"},
		{"refused but run", func(r *Report) { r.HoldsRefusedButRun = 1 }, "1 holds refused but run"},
		{"misrouted", func(r *Report) { r.Misrouted = 4 }, "4 packets or responses misrouted"},
		{"upload", func(r *Report) { r.UploadsWhole = 2 }, "1 of 3 uploads incomplete"},
		{"late connections", func(r *Report) { r.lateConnections = 1 }, "1 connections to a leaving target after 3s"},
		{"no feed", func(r *Report) { r.FeedsOpen = 0 }, "no feed was opened"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := passingReport()
			test.modify(&r)
			r.findViolations()
			is.New(t).Equal(strings.Join(r.Violations(), "; "), test.want)
		})
	}
}

// TestReportFields guards against changes of the fields of the JSON report, and against a table
// with other rows.
func TestReportFields(t *testing.T) {
	is := is.New(t)
	r := passingReport()
	document, err := json.Marshal(&r)
	is.NoErr(err)
	fields := make(map[string]any)
	is.NoErr(json.Unmarshal(document, &fields))
	want := []string{
		"feeds_open", "feeds_broken", "holds_sent", "holds_run", "holds_doubled", "holds_refused",
		"holds_refused_but_run", "uploads_sent", "uploads_whole", "misrouted", "imbalance",
		"control_bytes_per_second_per_vm", "converge_milliseconds",
	}
	is.Equal(len(fields), len(want))
	for _, name := range want {
		_, ok := fields[name]
		is.True(ok) // the field is there
	}
	var text bytes.Buffer
	is.NoErr(r.WriteTable(&text))
	is.Equal(strings.Count(text.String(), "\n"), len(want))
}

// TestDeploymentTables guards against tables of a deployment that entry VMs reject, and against
// a delivery check that accepts a target of another service.
func TestDeploymentTables(t *testing.T) {
	booking := netip.MustParseAddrPort("127.10.0.1:1000")
	photos := netip.MustParseAddrPort("127.10.0.2:1000")
	certificates, err := standin.NewCertificates()
	is.New(t).NoErr(err)
	for _, name := range DeploymentNames() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := findDeployment(name)
			is.NoErr(err)
			tables := newTables(d, booking, photos)
			target, err := standin.StartTarget(context.Background(), d.booking.pool, "t-01", anyPort, 1, certificates, standin.NewExecutionLog())
			is.NoErr(err)
			defer target.Close()
			tables.add(target, d.domains[0], "serving")
			tables.mark("t-01", "leaving")
			document, err := tables.document()
			is.NoErr(err)
			snapshot, err := table.Parse(document)
			is.NoErr(err)
			is.Equal(snapshot.Pools()[0].Hosts()[0].State(), table.Leaving)
			is.True(tables.allowed(standin.Delivery{Destination: booking, Target: target.Address()}))
			is.True(!tables.allowed(standin.Delivery{Destination: photos, Target: target.Address()})) // another service
		})
	}
	_, err = Run(context.Background(), Options{Deployment: "atlantis", Progress: io.Discard, Duration: time.Second})
	is.New(t).True(err != nil) // no such deployment
}

// TestFeedDetectsInterruption guards against a feed that accepts missing or repeated events or
// an early end.
func TestFeedDetectsInterruption(t *testing.T) {
	tests := []struct {
		name, body string
		want       error
	}{
		{"missing event", "0\n1\n3\n", errUnexpectedEvent},
		{"repeated event", "0\n1\n1\n", errUnexpectedEvent},
		{"end of feed", "0\n1\n", errEnded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			c := &client{ctx: ctx, cancel: cancel}
			err := (&feeds{}).read(context.Background(), c, strings.NewReader(test.body))
			is.New(t).Equal(err, test.want)
		})
	}
}

// TestBalanceSampler guards against excluded targets and samples of few connections that
// distort the imbalance.
func TestBalanceSampler(t *testing.T) {
	is := is.New(t)
	b := &balanceSampler{excluded: make(map[string]bool)}
	b.exclude("joining", true)
	b.addSample([]targetConnections{{"a", 10}, {"b", 14}, {"joining", 0}})
	is.Equal(b.imbalance(), 14.0/12)
	b.addSample([]targetConnections{{"a", 1}, {"b", 3}}) // too few connections to be significant
	is.Equal(b.imbalance(), 14.0/12)
}
