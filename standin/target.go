package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Paths served by a stand-in target.
const (
	// FeedPath responds to GET with an endless stream of events, one line each, numbered from 0.
	FeedPath = "/feed"
	// HoldPath responds to POST by running the hold whose id is in the query, once per request.
	HoldPath = "/hold"
	// PhotoPath responds to PUT with the SHA-256 digest of the body in hexadecimal.
	PhotoPath = "/photo"
)

const (
	feedInterval  = 200 * time.Millisecond
	holdDuration  = 5 * time.Millisecond
	idleTimeout   = 10 * time.Second
	maxPhotoBytes = 64 << 20
)

// PoolHeader is the response header that names the pool of the responding target.
const PoolHeader = "Almondflow-Pool"

// Target is an HTTP/3 server that acts as a host of a pool. It runs as many holds concurrently
// as it has slots; further holds wait.
type Target struct {
	pool         string
	name         string
	executionLog *ExecutionLog
	slots        chan struct{}
	connections  atomic.Int64
	accepted     atomic.Int64
	socket       net.PacketConn
	server       *http3.Server
	goroutines   sync.WaitGroup
}

// StartTarget listens on an address and serves until Close. Port 0 selects a free port.
func StartTarget(ctx context.Context, pool, name, address string, slots int, certificates *Certificates, executionLog *ExecutionLog) (*Target, error) {
	socket, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, err
	}
	t := &Target{pool: pool, name: name, executionLog: executionLog, slots: make(chan struct{}, slots), socket: socket}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+FeedPath, t.feed)
	mux.HandleFunc("POST "+HoldPath, t.hold)
	mux.HandleFunc("PUT "+PhotoPath, t.photo)
	t.server = &http3.Server{
		Handler:     mux,
		TLSConfig:   certificates.server,
		QUICConfig:  &quic.Config{MaxIdleTimeout: idleTimeout},
		ConnContext: t.countConnection,
	}
	t.goroutines.Go(func() { _ = t.server.Serve(socket) })
	return t, nil
}

// countConnection counts a connection as accepted, and as open until it ends.
func (t *Target) countConnection(ctx context.Context, c *quic.Conn) context.Context {
	t.connections.Add(1)
	t.accepted.Add(1)
	context.AfterFunc(c.Context(), func() { t.connections.Add(-1) })
	return ctx
}

// Name returns the name of the host.
func (t *Target) Name() string { return t.name }

// Pool returns the name of the pool.
func (t *Target) Pool() string { return t.pool }

// Address returns the address on which the target listens.
func (t *Target) Address() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Connections returns the number of open connections.
func (t *Target) Connections() int64 { return t.connections.Load() }

// Accepted returns the number of connections accepted since the start.
func (t *Target) Accepted() int64 { return t.accepted.Load() }

// Close closes the server and its connections immediately.
func (t *Target) Close() {
	_ = t.server.Close()
	_ = t.socket.Close()
	t.goroutines.Wait()
}

func (t *Target) feed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(PoolHeader, t.pool)
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for event := 0; ; event++ {
		if _, err := fmt.Fprintln(w, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) hold(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(PoolHeader, t.pool)
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	t.executionLog.Run(r.URL.Query().Get("id"))
	time.Sleep(holdDuration)
	_, _ = io.WriteString(w, t.name)
}

func (t *Target) photo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(PoolHeader, t.pool)
	digest := sha256.New()
	_, err := io.Copy(digest, http.MaxBytesReader(w, r.Body, maxPhotoBytes))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		http.Error(w, "photo too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		return
	}
	_, _ = io.WriteString(w, hex.EncodeToString(digest.Sum(nil)))
}
