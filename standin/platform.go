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
	// platformWait is how long a waiting call of the stand-in lasts at most.
	platformWait = 30 * time.Second
	// platformHeaderTimeout is the time a caller has to send its request.
	platformHeaderTimeout = 5 * time.Second
	// oversizeBytes is the length of the value that the fault Oversize answers with.
	oversizeBytes = 2 << 20
)

// PlatformFault is a way in which the stand-in platform misbehaves.
type PlatformFault string

// Faults of the stand-in platform.
const (
	// Healthy answers as it should.
	Healthy PlatformFault = "healthy"
	// Down refuses every call with an error status.
	Down PlatformFault = "down"
	// StaleValues answers with the versions from the moment the fault began.
	StaleValues PlatformFault = "stale"
	// Slow answers after the delay that was set.
	Slow PlatformFault = "slow"
	// Garbage answers with text that is no JSON.
	Garbage PlatformFault = "garbage"
	// Oversize answers with more than a value may hold.
	Oversize PlatformFault = "oversize"
)

// PlatformFaults returns every fault, Healthy first.
func PlatformFaults() []PlatformFault {
	return []PlatformFault{Healthy, Down, StaleValues, Slow, Garbage, Oversize}
}

type platformValue struct {
	version uint64
	value   json.RawMessage
}

// Platform is a stand-in for the platform's service: versioned values over HTTP, with
// waiting calls, a count of calls and faults that can be switched. It is an
// http.Handler and may be used by several goroutines.
type Platform struct {
	mu     sync.Mutex
	values map[string]platformValue
	// changed is closed and replaced whenever values or the fault change.
	changed chan struct{}
	fault   PlatformFault
	frozen  map[string]platformValue
	delay   time.Duration
	calls   uint64
	mux     *http.ServeMux
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

// Publish stores a document under a name. The version is the document's own field
// "version", or 1 for parts, which have none.
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
	p.wake()
	return nil
}

// SetFault switches a fault on, or all faults off with Healthy. The delay is that of Slow.
func (p *Platform) SetFault(fault PlatformFault, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.delay = fault, delay
	p.frozen = make(map[string]platformValue, len(p.values))
	for name, value := range p.values {
		p.frozen[name] = value
	}
	p.wake()
}

// Calls returns the number of calls so far. A waiting call counts as one.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// PublishLate stores a document after a lag, as a list that lags behind does.
func (p *Platform) PublishLate(name string, document []byte, lag time.Duration) {
	time.AfterFunc(lag, func() { _ = p.Publish(name, document) })
}

// ServeHTTP answers GET /v1/values/{name}, with ?after=N&wait_seconds=S for a waiting
// call. For use by hand it also takes PUT /control/values/{name},
// PUT /control/faults/{name}?delay_milliseconds=N and GET /control/calls, which are not
// counted.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	fault, delay := p.countCall()
	switch fault {
	case Down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return
	case Garbage:
		_, _ = w.Write([]byte(`{"version":`))
		return
	case Oversize:
		writeOversize(w)
		return
	case Slow:
		if !pause(r.Context(), delay) {
			return
		}
	case Healthy, StaleValues:
	}
	p.answer(w, r)
}

func (p *Platform) countCall() (PlatformFault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.fault, p.delay
}

func writeOversize(w http.ResponseWriter) {
	large := make([]byte, oversizeBytes)
	for i := range large {
		large[i] = ' '
	}
	_, _ = w.Write([]byte(`{"version":1,"value":`))
	_, _ = w.Write(large)
	_, _ = w.Write([]byte(`{}}`))
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Platform) answer(w http.ResponseWriter, r *http.Request) {
	after, wait, err := readWait(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, ok := p.await(r.Context(), r.PathValue("name"), after, wait)
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

// readWait reads the version and the span of a waiting call, zero for any other.
func readWait(r *http.Request) (after uint64, wait time.Duration, err error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return 0, 0, nil
	}
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, errors.New("after must be a version")
	}
	wait = platformWait
	if text := query.Get("wait_seconds"); text != "" {
		seconds, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return 0, 0, errors.New("wait_seconds must be a number of seconds")
		}
		wait = min(wait, time.Duration(seconds)*time.Second)
	}
	return after, wait, nil
}

// await returns the value once its version exceeds after, or false after the span.
func (p *Platform) await(ctx context.Context, name string, after uint64, wait time.Duration) (platformValue, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		value, exists, changed := p.look(name)
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

func (p *Platform) look(name string) (platformValue, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.fault == StaleValues {
		values = p.frozen
	}
	value, exists := values[name]
	return value, exists, p.changed
}

// Serve answers calls on a listener until the context ends.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: p, ReadHeaderTimeout: platformHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
