package operator_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/oops"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/result"
)

// fakeDaemon is a Daemon that returns fixed values.
type fakeDaemon struct{}

func (fakeDaemon) Status() operator.Status {
	return operator.Status{Name: "kadikoy-1", TableVersion: 7}
}

func (fakeDaemon) Flows(limit int) []operator.Flow { return make([]operator.Flow, limit) }

func (fakeDaemon) Explain(key flow.Key) operator.Explanation {
	return operator.Explanation{Flow: key.String()}
}

// recordTime is the time of all audit records.
var recordTime = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func newAuditTrail(size int) *operator.AuditTrail {
	return operator.NewAuditTrail(size, slog.New(slog.DiscardHandler), func() time.Time { return recordTime })
}

// startServer starts a Server with a fakeDaemon and one audit record. It returns a client
// for it, its metrics and its address.
func startServer(t *testing.T) (*operator.Client, *operator.Metrics, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	metrics := operator.NewMetrics(map[string]string{"vm": "kadikoy-1"})
	trail := newAuditTrail(operator.DefaultAuditEntries)
	trail.Add(operator.ChangedTables, "tables", "6", "7", "platform")
	server := operator.NewServer(listener, fakeDaemon{}, trail, metrics)
	t.Cleanup(server.Close)
	address := listener.Addr().String()
	return operator.NewClient(address), metrics, address
}

func TestClientReturnsResponsesOfServer(t *testing.T) {
	is := is.New(t)
	client, _, _ := startServer(t)
	ctx := context.Background()
	status, err := client.Status(ctx)
	is.NoErr(err)
	is.Equal(status.TableVersion, uint64(7))
	flows, err := client.Flows(ctx, 3)
	is.NoErr(err)
	is.Equal(len(flows), 3)
	records, err := client.Audit(ctx, 0)
	is.NoErr(err)
	is.Equal(records, []operator.AuditRecord{{
		Sequence: 1, Time: recordTime, Kind: operator.ChangedTables, Subject: "tables", Before: "6", After: "7", Source: "platform",
	}})
	explanation, err := client.Explain(ctx, "udp", "192.0.2.1:1000", "203.0.113.10:443")
	is.NoErr(err)
	is.Equal(explanation.Flow, "udp 192.0.2.1:1000 > 203.0.113.10:443")
}

func TestClientErrorsHaveResultCodes(t *testing.T) {
	client, _, address := startServer(t)
	ctx := context.Background()
	_, invalidProtocol := client.Explain(ctx, "sctp", "192.0.2.1:1000", "203.0.113.10:443")
	_, invalidSource := client.Explain(ctx, "udp", "here", "203.0.113.10:443")
	_, excessiveLimit := client.Flows(ctx, 10_001)
	_, unreachable := operator.NewClient("127.0.0.1:1").Status(ctx)
	_, invalidAddress := operator.NewClient(address + "/elsewhere").Status(ctx)
	tests := []struct {
		name string
		err  error
		code result.Code
	}{
		{"invalid protocol", invalidProtocol, result.Usage},
		{"invalid source", invalidSource, result.Usage},
		{"excessive limit", excessiveLimit, result.Usage},
		{"no listener", unreachable, result.DaemonUnreachable},
		{"invalid address", invalidAddress, result.Usage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			detailed, ok := oops.AsOops(test.err)
			is.True(ok) // the error has a code
			is.Equal(detailed.Code(), test.code)
		})
	}
}

func TestAuditTrailKeepsLatestRecords(t *testing.T) {
	is := is.New(t)
	trail := newAuditTrail(3)
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

func TestScrapeReturnsExactlyAllMetrics(t *testing.T) {
	is := is.New(t)
	_, metrics, address := startServer(t)
	sample := operator.Sample{Results: map[result.Code]uint64{result.Forwarded: 5}, Flows: 2}
	metrics.Report(sample)
	sample.Results = map[result.Code]uint64{result.Forwarded: 9}
	metrics.Report(sample)
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
		want = append(want, m.Name()+" "+string(m.Type()))
	}
	slices.Sort(want)
	is.Equal(got, want)
	is.True(regexp.MustCompile(`almondflow_packets\{result="forwarded",vm="kadikoy-1"\} 9`).Match(text)) // the second total replaces the first
}

// Guards against an answer whose fields differ in case, or occur twice, being taken for the daemon's.
func TestMisspelledFieldsOfAnAnswer(t *testing.T) {
	is := is.New(t)
	answer := `{"table_version":7,"Table_Version":9}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
	defer server.Close()
	client := operator.NewClient(strings.TrimPrefix(server.URL, "http://"))
	status, err := client.Status(context.Background())
	is.NoErr(err)
	is.Equal(status.TableVersion, uint64(7))
	answer = `{"table_version":7,"table_version":9}`
	_, err = client.Status(context.Background())
	is.True(err != nil)
}
