package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/samber/oops"

	"github.com/almondflow/almondflow/result"
)

// clientTimeout is the time limit for one query.
const clientTimeout = 10 * time.Second

// Client queries the operator endpoint of one daemon. Its methods return errors with the
// code DaemonUnreachable or Usage.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client for the operator address of a daemon.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the state of the daemon.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, StatusPath, nil, &s)
	return s, err
}

// Flows returns up to limit flows of the daemon.
func (c *Client) Flows(ctx context.Context, limit int) ([]Flow, error) {
	var flows []Flow
	err := c.get(ctx, FlowsPath, url.Values{"limit": {strconv.Itoa(limit)}}, &flows)
	return flows, err
}

// Audit returns the audit records with a sequence number above after, oldest first.
func (c *Client) Audit(ctx context.Context, after uint64) ([]AuditRecord, error) {
	var records []AuditRecord
	err := c.get(ctx, AuditPath, url.Values{"after": {strconv.FormatUint(after, 10)}}, &records)
	return records, err
}

// Explain returns where a flow is forwarded and why.
func (c *Client) Explain(ctx context.Context, protocol, source, destination string) (Explanation, error) {
	var e Explanation
	query := url.Values{"protocol": {protocol}, "source": {source}, "destination": {destination}}
	err := c.get(ctx, ExplainPath, query, &e)
	return e, err
}

// get decodes the response to a query into the value that into points to. It returns an
// error with the code DaemonUnreachable if there is no valid response, and with the code
// Usage if the address is invalid or the daemon rejects the query.
func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	endpoint := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	unreachable := oops.Code(result.DaemonUnreachable).With("daemon", c.address)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.String(), nil)
	if err != nil {
		return oops.Code(result.Usage).Errorf("daemon address %q: want address:port", c.address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unreachable.Wrapf(err, "daemon %s", c.address)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusBadRequest {
		var e ErrorResponse
		_ = json.UnmarshalRead(response.Body, &e)
		return oops.Code(result.Usage).Errorf("%s", e.Error)
	}
	if response.StatusCode != http.StatusOK {
		return unreachable.Wrapf(fmt.Errorf("status %d", response.StatusCode), "daemon %s", c.address)
	}
	if err = json.UnmarshalRead(response.Body, into); err != nil {
		return unreachable.Wrapf(err, "daemon %s: decode response", c.address)
	}
	return nil
}
