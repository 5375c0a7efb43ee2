package published_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/standin"
)

func TestClientReportsPlatformFaults(t *testing.T) {
	tests := []struct {
		fault standin.PlatformFault
		want  string
	}{
		{standin.Healthy, ""},
		{standin.StaleValues, ""},
		{standin.Slow, "deadline"},
		{standin.Down, "status 503"},
		{standin.InvalidJSON, "unexpected EOF"},
		{standin.OversizedValue, "exceeds 1048576 bytes"},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			is := is.New(t)
			platform := standin.NewPlatform()
			is.NoErr(platform.Publish(published.Tables, tables(1, 1)))
			platform.SetFault(test.fault, clock.Hour.Duration())
			server := httptest.NewServer(platform)
			defer server.Close()
			client, err := published.NewClient([]string{server.URL})
			is.NoErr(err)
			defer client.Close()
			ctx, cancel := context.WithCancel(context.Background())
			if test.fault == standin.Slow {
				cancel() // instead of waiting for the timeout of the call
				test.want = "canceled"
			}
			defer cancel()
			poller := newPoller(true)
			request, ok := poller.Next(clock.Minute)
			is.True(ok)
			response := client.Call(ctx, request)
			is.True(strings.Contains(response.Reason(), test.want))
			_, ok = poller.HandleResponse(clock.Minute, response)
			is.Equal(ok, test.want == "")
		})
	}
}

func TestRunnerDeliversNewVersion(t *testing.T) {
	is := is.New(t)
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform)
	defer server.Close()
	client, err := published.NewClient([]string{server.URL})
	is.NoErr(err)
	store := published.NewStore()
	changes := make(chan published.Change, 10)
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	random := rand.New(rand.NewPCG(1, 1))
	runner := published.NewRunner(client, store, clock.NewSystem(), logger, random, fleet.NewID("a"), 1)
	store.Listen(func(c published.Change) { changes <- c })
	is.NoErr(platform.Publish(published.List, []byte(`{"version":1,"vms":[{"name":"a","domain":"d","data_address":"127.0.0.1:1","peer_address":"127.0.0.1:2"}]}`)))
	is.NoErr(platform.Publish(published.Tables, tables(1, 1)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); runner.Run(ctx) }()
	<-changes
	<-changes
	is.NoErr(platform.Publish(published.Tables, tables(2, 2)))
	change := <-changes
	is.Equal(change.Version(), uint64(2))
	cancel()
	<-done
	is.Equal(runner.Counters().Failures, uint64(0))
}
