package operator_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/oops"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/result"
)

// fakeDaemon answers with fixed values.
type fakeDaemon struct{}

func (fakeDaemon) Status() operator.Status {
	return operator.Status{Name: "kadikoy-1", TableVersion: 7}
}

func (fakeDaemon) Flows(limit int) []operator.Flow { return make([]operator.Flow, limit) }

func (fakeDaemon) Explain(key flow.Key) operator.Explanation {
	return operator.Explanation{Flow: key.String()}
}

var wall = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func newTrail(size int) *operator.Trail {
	return operator.NewTrail(size, slog.New(slog.DiscardHandler), func() time.Time { return wall })
}

func serve(t *testing.T) (*operator.Client, *operator.Metrics, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	metrics := operator.NewMetrics(map[string]string{"vm": "kadikoy-1"})
	trail := newTrail(operator.DefaultTrailSize)
	trail.Add(operator.ChangedTables, "tables", "6", "7", "platform")
	server := operator.NewServer(listener, fakeDaemon{}, trail, metrics)
	t.Cleanup(server.Close)
	address := listener.Addr().String()
	return operator.NewClient(address), metrics, address
}

func TestClientGetsWhatTheDaemonAnswers(t *testing.T) {
	is := is.New(t)
	client, _, _ := serve(t)
	ctx := context.Background()
	status, err := client.Status(ctx)
	is.NoErr(err)
	is.Equal(status.TableVersion, uint64(7))
	flows, err := client.Flows(ctx, 3)
	is.NoErr(err)
	is.Equal(len(flows), 3)
	records, err := client.Audit(ctx, 0)
	is.NoErr(err)
	is.Equal(records, []operator.Record{{
		Sequence: 1, Time: wall, Kind: operator.ChangedTables, Subject: "tables", Before: "6", After: "7", Source: "platform",
	}})
	explanation, err := client.Explain(ctx, "udp", "192.0.2.1:1000", "203.0.113.10:443")
	is.NoErr(err)
	is.Equal(explanation.Flow, "udp 192.0.2.1:1000 > 203.0.113.10:443")
}

func TestClientErrorsCarryCodes(t *testing.T) {
	client, _, address := serve(t)
	ctx := context.Background()
	_, wrongProtocol := client.Explain(ctx, "sctp", "192.0.2.1:1000", "203.0.113.10:443")
	_, wrongSource := client.Explain(ctx, "udp", "here", "203.0.113.10:443")
	_, wrongLimit := client.Flows(ctx, 10_001)
	_, unreachable := operator.NewClient("127.0.0.1:1").Status(ctx)
	_, notDaemon := operator.NewClient(address + "/elsewhere").Status(ctx)
	tests := []struct {
		name string
		err  error
		code result.Code
	}{
		{"wrong protocol", wrongProtocol, result.Usage},
		{"wrong source", wrongSource, result.Usage},
		{"wrong limit", wrongLimit, result.Usage},
		{"nothing listens", unreachable, result.DaemonUnreachable},
		{"not an address", notDaemon, result.Usage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			detailed, ok := oops.AsOops(test.err)
			is.True(ok) // the error carries a code
			is.Equal(detailed.Code(), test.code)
		})
	}
}

func TestTrailKeepsTheLatest(t *testing.T) {
	is := is.New(t)
	trail := newTrail(3)
	for range 5 {
		trail.Add(operator.ChangedState, "kadikoy-1", "a", "b", "test")
	}
	var sequences []uint64
	for _, r := range trail.Records(3) {
		sequences = append(sequences, r.Sequence)
	}
	is.Equal(sequences, []uint64{4, 5})
	is.Equal(len(trail.Records(0)), 3)
	is.Equal(trail.Added(), uint64(5))
}

func TestScrapeHasExactlyTheMetricsOfTheTable(t *testing.T) {
	is := is.New(t)
	_, metrics, address := serve(t)
	before := operator.Sample{Results: map[result.Code]uint64{result.Forwarded: 5}, Flows: 2}
	metrics.Report(before)
	before.Results = map[result.Code]uint64{result.Forwarded: 9}
	metrics.Report(before)
	metrics.Close()
	response, err := http.Get("http://" + address + operator.MetricsPath)
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	var got, want []string
	for _, match := range regexp.MustCompile(`(?m)^# TYPE (\w+) (\w+)$`).FindAllStringSubmatch(string(text), -1) {
		got = append(got, match[1]+" "+match[2])
	}
	for _, m := range operator.AllMetrics() {
		want = append(want, m.Name()+" "+string(m.Form()))
	}
	slices.Sort(want)
	is.Equal(got, want)
	is.True(regexp.MustCompile(`almondflow_packets\{result="forwarded",vm="kadikoy-1"\} 9`).Match(text)) // totals add up
}
