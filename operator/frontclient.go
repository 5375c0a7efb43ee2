package operator

import (
	"context"
	"net/url"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/inband"
)

// FrontClient queries the operator endpoint of a daemon on the users' platform.
type FrontClient struct {
	client *Client
}

// NewFrontClient returns a client for the operator address of a daemon.
func NewFrontClient(address string) *FrontClient {
	return &FrontClient{client: NewClient(address)}
}

// Status returns the state of the daemon.
func (c *FrontClient) Status(ctx context.Context) (front.Status, error) {
	var s front.Status
	err := c.client.get(ctx, front.StatusPath, nil, &s)
	return s, err
}

// Audit returns the latest records of the daemon's audit trail, oldest first.
func (c *FrontClient) Audit(ctx context.Context) ([]front.AuditRecord, error) {
	var records []front.AuditRecord
	err := c.client.get(ctx, front.AuditPath, nil, &records)
	return records, err
}

// Explain returns where a flow is forwarded and why.
func (c *FrontClient) Explain(ctx context.Context, key inband.Key) (inband.Explanation, error) {
	var e inband.Explanation
	query := url.Values{"client": {key.Client.String()}, "service": {key.Destination.String()}}
	err := c.client.get(ctx, front.ExplainPath, query, &e)
	return e, err
}
