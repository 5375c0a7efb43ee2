package targets_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/targets"
)

func probeOf(address net.Addr, protocol flow.Protocol) targets.Probe {
	endpoint := flow.NewEndpoint(netip.MustParseAddrPort(address.String()))
	return targets.NewProbe(hostID(0), endpoint, protocol)
}

func TestProbersDetectWhetherTargetIsUp(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	up := server.Listener.Addr()
	tests := []struct {
		name   string
		prober targets.Prober
		probe  targets.Probe
		passed bool
	}{
		{"connect", &targets.ConnectProber{}, probeOf(up, flow.TCP), true},
		{"connect to a closed port", &targets.ConnectProber{}, probeOf(closed.Addr(), flow.TCP), false},
		{"connect over UDP", &targets.ConnectProber{}, probeOf(up, flow.UDP), false},
		{"healthy", targets.NewHTTPProber(0, "/health"), probeOf(up, flow.TCP), true},
		{"unhealthy", targets.NewHTTPProber(0, "/unhealthy"), probeOf(up, flow.TCP), false},
		{"health endpoint on another port", targets.NewHTTPProber(uint16(up.(*net.TCPAddr).Port), "/health"), probeOf(closed.Addr(), flow.UDP), true},
		{"health endpoint on a closed port", targets.NewHTTPProber(0, "/health"), probeOf(closed.Addr(), flow.TCP), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := test.prober.Probe(t.Context(), test.probe)
			is.Equal(err == nil, test.passed)
		})
	}
}

// probeFunc implements Prober by a function.
type probeFunc func(ctx context.Context, probe targets.Probe) error

func (p probeFunc) Probe(ctx context.Context, probe targets.Probe) error { return p(ctx, probe) }

func TestRunnerLimitsProbesAndReturnsOutcomes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	block := make(chan struct{})
	errDown := errors.New("down")
	runner := targets.NewRunner(probeFunc(func(_ context.Context, p targets.Probe) error {
		<-block
		switch p.Protocol() {
		case flow.UDP:
			return targets.ErrNotProbed
		default:
			return errDown
		}
	}))
	probes := []targets.Probe{targets.NewProbe(hostID(0), flow.Endpoint{}, flow.TCP)}
	for range 99 {
		probes = append(probes, targets.NewProbe(hostID(1), flow.Endpoint{}, flow.UDP))
	}
	is.Equal(runner.Start(ctx, probes), 64) // the others are skipped
	close(block)
	outcome := <-runner.Outcomes()
	is.Equal(outcome.ID(), hostID(0)) // targets that cannot be probed have no outcome
	is.Equal(outcome.Err(), errDown)
	cancel()
	runner.Wait()
	is.Equal(len(runner.Outcomes()), 0)
}
