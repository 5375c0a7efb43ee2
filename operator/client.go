package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/almondflow/almondflow/result"
)

// clientTimeout bounds one query of a daemon.
const clientTimeout = 10 * time.Second

// Client queries the operator endpoint of one daemon.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client for the operator address of a daemon.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// Status asks for the state of the daemon.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, StatusPath, nil, &s)
	return s, err
}

// Flows asks for up to limit flows.
func (c *Client) Flows(ctx context.Context, limit int) ([]Flow, error) {
	var flows []Flow
	err := c.get(ctx, FlowsPath, url.Values{"limit": {strconv.Itoa(limit)}}, &flows)
	return flows, err
}

// Audit asks for the changes after a sequence number.
func (c *Client) Audit(ctx context.Context, after uint64) ([]Record, error) {
	var records []Record
	err := c.get(ctx, AuditPath, url.Values{"after": {strconv.FormatUint(after, 10)}}, &records)
	return records, err
}

// Explain asks where a flow goes and why.
func (c *Client) Explain(ctx context.Context, protocol, source, destination string) (Explanation, error) {
	var e Explanation
	query := url.Values{"protocol": {protocol}, "source": {source}, "destination": {destination}}
	err := c.get(ctx, ExplainPath, query, &e)
	return e, err
}

// get fails with the code DaemonUnreachable when no usable answer came, and with Usage
// when the daemon rejected the query.
func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	unreachable := oops.Code(result.DaemonUnreachable).With("daemon", c.address)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return oops.Code(result.Usage).Errorf("daemon address %q: want address:port", c.address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unreachable.Wrapf(err, "daemon %s", c.address)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusBadRequest {
		var p Problem
		_ = json.NewDecoder(response.Body).Decode(&p)
		return oops.Code(result.Usage).Errorf("%s", p.Error)
	}
	if response.StatusCode != http.StatusOK {
		return unreachable.Wrapf(fmt.Errorf("status %d", response.StatusCode), "daemon %s", c.address)
	}
	if err = json.NewDecoder(response.Body).Decode(into); err != nil {
		return unreachable.Wrapf(err, "daemon %s: answer", c.address)
	}
	return nil
}
