package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxPlatformWait limits how long a call may wait for a newer version.
	maxPlatformWait = 30 * time.Second
	// platformHeaderTimeout limits how long a caller may take to send the request header.
	platformHeaderTimeout = 5 * time.Second
	// oversizedValueBytes is the size of the value that OversizedValue returns.
	oversizedValueBytes = 2 << 20
)

// PlatformFault names a fault of the stand-in platform.
type PlatformFault string

// Faults of the stand-in platform.
const (
	// Healthy is the absence of a fault.
	Healthy PlatformFault = "healthy"
	// Down responds to every call with status 503.
	Down PlatformFault = "down"
	// StaleValues responds with the values as of the start of the fault.
	StaleValues PlatformFault = "stale"
	// Slow responds after the delay passed to SetFault.
	Slow PlatformFault = "slow"
	// InvalidJSON responds with invalid JSON.
	InvalidJSON PlatformFault = "garbage"
	// OversizedValue responds with a value that exceeds the permitted size.
	OversizedValue PlatformFault = "oversize"
)

// PlatformFaults returns every fault, Healthy first.
func PlatformFaults() []PlatformFault {
	return []PlatformFault{Healthy, Down, StaleValues, Slow, InvalidJSON, OversizedValue}
}

// platformValue is a version of a published document.
type platformValue struct {
	version uint64
	value   json.RawMessage
}

// Platform is a stand-in for the platform's service. It serves versioned values over HTTP,
// supports long polling, counts calls and can simulate faults. It is an http.Handler and is
// safe for concurrent use.
type Platform struct {
	mu     sync.Mutex
	values map[string]platformValue
	// changed is closed and replaced whenever values or the fault change.
	changed     chan struct{}
	fault       PlatformFault
	staleValues map[string]platformValue
	delay       time.Duration
	calls       uint64
	mux         *http.ServeMux
}

// NewPlatform returns a healthy Platform without values.
func NewPlatform() *Platform {
	p := &Platform{
		values:  make(map[string]platformValue),
		changed: make(chan struct{}),
		fault:   Healthy,
		mux:     http.NewServeMux(),
	}
	p.mux.HandleFunc("GET /v1/values/{name}", p.serveValue)
	p.mux.HandleFunc("PUT /control/values/{name}", p.controlValue)
	p.mux.HandleFunc("PUT /control/faults/{name}", p.controlFault)
	p.mux.HandleFunc("GET /control/calls", p.controlCalls)
	return p
}

// Publish stores a JSON document under a name, or returns an error if it is invalid. The version of
// the value is the document's field "version", or 1 for documents without one, such as the parts of
// a split value.
func (p *Platform) Publish(name string, document []byte) error {
	var versioned struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(document, &versioned); err != nil {
		return fmt.Errorf("value %s: %w", name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[name] = platformValue{version: max(versioned.Version, 1), value: json.RawMessage(document)}
	p.notifyWaiters()
	return nil
}

// SetFault replaces the current fault; Healthy ends it. Only Slow uses the delay.
func (p *Platform) SetFault(fault PlatformFault, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.delay = fault, delay
	p.staleValues = make(map[string]platformValue, len(p.values))
	for name, value := range p.values {
		p.staleValues[name] = value
	}
	p.notifyWaiters()
}

// Calls returns the number of calls so far. A call that waits counts once.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// notifyWaiters makes all waiting calls check the values again. The caller holds the lock.
func (p *Platform) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// PublishAfter publishes a document after a lag, to simulate a list that is out of date. An
// invalid document is ignored.
func (p *Platform) PublishAfter(name string, document []byte, lag time.Duration) {
	time.AfterFunc(lag, func() { _ = p.Publish(name, document) })
}

// ServeHTTP serves GET /v1/values/{name}. With ?after=N&wait_seconds=S the call waits up to S
// seconds for a version newer than N. For manual use it also serves
// PUT /control/values/{name}, PUT /control/faults/{name}?delay_milliseconds=N and
// GET /control/calls, which are not counted as calls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	fault, delay := p.countCall()
	switch fault {
	case Down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return
	case InvalidJSON:
		_, _ = w.Write([]byte(`{"version":`))
		return
	case OversizedValue:
		writeOversize(w)
		return
	case Slow:
		if !sleep(r.Context(), delay) {
			return
		}
	case Healthy, StaleValues:
	}
	p.writeValue(w, r)
}

// countCall counts a call and returns the current fault and its delay.
func (p *Platform) countCall() (PlatformFault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.fault, p.delay
}

func writeOversize(w http.ResponseWriter) {
	large := make([]byte, oversizedValueBytes)
	for i := range large {
		large[i] = ' '
	}
	_, _ = w.Write([]byte(`{"version":1,"value":`))
	_, _ = w.Write(large)
	_, _ = w.Write([]byte(`{}}`))
}

// sleep waits for a duration and reports false if ctx was done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeValue responds with the requested value, waiting for a newer version if asked to.
func (p *Platform) writeValue(w http.ResponseWriter, r *http.Request) {
	after, wait, err := parseWait(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, ok := p.awaitValue(r.Context(), r.PathValue("name"), after, wait)
	switch {
	case ok:
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"version":%d,"value":%s}`, value.version, value.value)
	case wait > 0:
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

// parseWait returns the version and the longest wait of a call that waits, and zeros for any
// other call.
func parseWait(r *http.Request) (after uint64, wait time.Duration, err error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return 0, 0, nil
	}
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, errors.New("after must be a version")
	}
	wait = maxPlatformWait
	if text := query.Get("wait_seconds"); text != "" {
		seconds, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return 0, 0, errors.New("wait_seconds must be a number of seconds")
		}
		wait = min(wait, time.Duration(seconds)*time.Second)
	}
	return after, wait, nil
}

// awaitValue returns the value once its version exceeds after, or false when the wait ends
// first.
func (p *Platform) awaitValue(ctx context.Context, name string, after uint64, wait time.Duration) (platformValue, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		value, exists, changed := p.lookup(name)
		if exists && value.version > after {
			return value, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platformValue{}, false
		}
	}
}

// lookup returns a value and a channel that is closed when values or the fault change.
func (p *Platform) lookup(name string) (platformValue, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.fault == StaleValues {
		values = p.staleValues
	}
	value, exists := values[name]
	return value, exists, p.changed
}

// Serve serves calls on a listener until the context is done.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: p, ReadHeaderTimeout: platformHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
