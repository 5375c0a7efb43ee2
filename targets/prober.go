package targets

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/almondflow/almondflow/flow"
)

// Prober finds out whether a target is up. The error says why it is not.
type Prober interface {
	Probe(ctx context.Context, probe Probe) error
}

// ErrNotProbed is returned for targets that a Prober has no way to probe. They are
// judged by their flows alone.
var ErrNotProbed = fmt.Errorf("protocol is not probed")

// probeTimeout bounds one probe.
const probeTimeout = 2 * time.Second

// ConnectProber opens and closes a TCP connection. Targets of other protocols are not
// probed.
type ConnectProber struct {
	dialer net.Dialer
}

// Probe implements Prober.
func (c *ConnectProber) Probe(ctx context.Context, probe Probe) error {
	if probe.protocol != flow.TCP {
		return ErrNotProbed
	}
	connection, err := c.dialer.DialContext(ctx, "tcp", probe.endpoint.String())
	if err != nil {
		return fmt.Errorf("connecting to target: %w", err)
	}
	return connection.Close()
}

// StatusError is the answer of a health endpoint that does not mean healthy.
type StatusError struct {
	status int
}

// Error returns the status.
func (e *StatusError) Error() string {
	return "health endpoint answered " + strconv.Itoa(e.status)
}

// Status returns the HTTP status code.
func (e *StatusError) Status() int { return e.status }

// HTTPProber asks a health endpoint over HTTP. Any status from 200 to 299 means up.
type HTTPProber struct {
	client *http.Client
	port   uint16
	path   string
}

// NewHTTPProber returns a prober of the path, such as "/health", on the port of every
// target. Port 0 means the port that the target serves on.
func NewHTTPProber(port uint16, path string) *HTTPProber {
	return &HTTPProber{
		client: &http.Client{
			Transport:     &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		port: port,
		path: path,
	}
}

// Probe implements Prober.
func (h *HTTPProber) Probe(ctx context.Context, probe Probe) error {
	address := probe.endpoint.AddrPort()
	if h.port != 0 {
		address = netip.AddrPortFrom(address.Addr(), h.port)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+h.path, nil)
	if err != nil {
		return fmt.Errorf("building health request: %w", err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return fmt.Errorf("asking health endpoint: %w", err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return &StatusError{response.StatusCode}
	}
	return nil
}
