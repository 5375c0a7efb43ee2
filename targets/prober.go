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

// Prober checks whether a target is up.
type Prober interface {
	// Probe returns nil if the target is up, ErrNotProbed if the Prober cannot probe it, and
	// otherwise the reason why it is not up.
	Probe(ctx context.Context, probe Probe) error
}

// ErrNotProbed is returned for targets that a Prober cannot probe. The health of such
// targets is derived from their flows alone.
var ErrNotProbed = fmt.Errorf("probing this protocol is not supported")

// probeTimeout is the time limit of one probe.
const probeTimeout = 2 * time.Second

// ConnectProber probes targets by opening and closing a TCP connection. It probes no other
// protocols.
type ConnectProber struct {
	dialer net.Dialer
}

// Probe implements Prober. It returns ErrNotProbed for protocols other than TCP.
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

// StatusError is returned if a health endpoint responds with a status outside 200 to 299.
type StatusError struct {
	status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "health endpoint returned status " + strconv.Itoa(e.status)
}

// Status returns the HTTP status code.
func (e *StatusError) Status() int { return e.status }

// HTTPProber probes targets with an HTTP GET request to a health endpoint. A status from
// 200 to 299 means that the target is up.
type HTTPProber struct {
	client *http.Client
	port   uint16
	path   string
}

// NewHTTPProber returns an HTTPProber that requests a path, such as "/health", from a port
// of each target. It does not follow redirects. Port 0 means the port on which the target
// serves.
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

// Probe implements Prober. It returns a *StatusError for a status outside 200 to 299.
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
		return fmt.Errorf("requesting health endpoint: %w", err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return &StatusError{response.StatusCode}
	}
	return nil
}
