package published

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	exact "github.com/go-json-experiment/json"

	"github.com/almondflow/almondflow/clock"
)

const (
	// callTimeout is the time limit of a call, on top of the wait of a long poll.
	callTimeout = 5 * clock.Second
	// maxEnvelopeBytes limits the JSON that surrounds the value in a response.
	maxEnvelopeBytes = 256
)

// Service is the platform's service that stores the published values. Client implements
// it over HTTP.
type Service interface {
	// Call makes one request. Errors are returned as a response with the outcome Failed.
	Call(ctx context.Context, request Request) Response
}

// Client calls the platform's service over HTTP.
type Client struct {
	endpoints []*url.URL
	http      *http.Client
}

// ErrNoEndpoint is returned by NewClient when it is given no endpoint.
var ErrNoEndpoint = errors.New("platform: no endpoint given")

// NewClient returns a Client of the given endpoints, which are URLs whose host is an IP
// address.
func NewClient(endpoints []string) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, ErrNoEndpoint
	}
	c := &Client{http: &http.Client{CheckRedirect: rejectRedirect, Transport: newTransport()}}
	for _, endpoint := range endpoints {
		u, err := url.Parse(endpoint)
		if err != nil {
			return nil, fmt.Errorf("platform endpoint: %w", err)
		}
		c.endpoints = append(c.endpoints, u)
	}
	return c, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		Proxy:               nil,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
}

func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call makes one request. Values larger than MaxValueBytes are rejected.
func (c *Client) Call(ctx context.Context, request Request) Response {
	ctx, cancel := context.WithTimeout(ctx, (request.wait + callTimeout).Duration())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(request), http.NoBody)
	if err != nil {
		return NewFailure("create request: %v", err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return NewFailure("HTTP call: %v", err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return readResponse(response.Body)
	case http.StatusNoContent:
		if request.wait == 0 {
			return NewFailure("status 204 without a value")
		}
		return NewUnchanged()
	default:
		return NewFailure("status %d", response.StatusCode)
	}
}

func (c *Client) url(request Request) string {
	u := c.endpoints[request.endpoint%len(c.endpoints)].JoinPath("v1", "values", request.name)
	if request.wait > 0 {
		query := url.Values{}
		query.Set("after", strconv.FormatUint(request.after, 10))
		query.Set("wait_seconds", strconv.FormatInt(int64(request.wait/clock.Second), 10))
		u.RawQuery = query.Encode()
	}
	return u.String()
}

// envelope is the body of a successful response.
type envelope struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// readResponse reads a body of the form {"version": N, "value": ...}. Other fields are
// rejected.
func readResponse(body io.Reader) Response {
	limited := &io.LimitedReader{R: body, N: MaxValueBytes + maxEnvelopeBytes + 1}
	text, err := io.ReadAll(limited)
	switch {
	case err != nil:
		return NewFailure("read response: %v", err)
	case limited.N == 0:
		return NewFailure("response exceeds %d bytes", MaxValueBytes)
	}
	return parseResponse(text)
}

func parseResponse(text []byte) Response {
	var fields map[string]json.RawMessage
	if err := exact.Unmarshal(text, &fields); err != nil {
		return NewFailure("parse response: %v", err)
	}
	var e envelope
	if err := exact.Unmarshal(text, &e); err != nil {
		return NewFailure("parse response: %v", err)
	}
	_, hasVersion := fields["version"]
	_, hasValue := fields["value"]
	if len(fields) != 2 || !hasVersion || !hasValue || e.Version == 0 {
		return NewFailure("response must have exactly a version above 0 and a value")
	}
	if len(e.Value) > MaxValueBytes {
		return NewFailure("value exceeds %d bytes", MaxValueBytes)
	}
	return NewResponse(e.Version, e.Value)
}
