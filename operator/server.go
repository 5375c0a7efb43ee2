package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/almondflow/almondflow/flow"
)

// Paths of the operator endpoint. All but MetricsPath return JSON.
const (
	// StatusPath returns a Status.
	StatusPath = "/v1/status"
	// FlowsPath returns a list of Flow values. The parameter limit is its maximum length: 100
	// by default, 10,000 at most.
	FlowsPath = "/v1/flows"
	// AuditPath returns the list of AuditRecord values with a sequence number above the
	// parameter after.
	AuditPath = "/v1/audit"
	// ExplainPath returns an Explanation for the flow with the parameters protocol, source
	// and destination.
	ExplainPath = "/v1/explain"
	// MetricsPath returns all metrics in the Prometheus text format.
	MetricsPath = "/metrics"
)

// Limits of one request.
const (
	defaultFlowLimit = 100
	maxFlowLimit     = 10_000
	readTimeout      = 5 * time.Second
)

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Server serves the operator endpoint of one daemon.
type Server struct {
	listener net.Listener
	server   *http.Server
	daemon   Daemon
	trail    *AuditTrail
}

// NewServer returns a Server that serves a bound listener until Close or Shutdown.
func NewServer(listener net.Listener, daemon Daemon, trail *AuditTrail, metrics *Metrics) *Server {
	s := &Server{listener: listener, daemon: daemon, trail: trail}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, s.status)
	mux.HandleFunc("GET "+FlowsPath, s.flows)
	mux.HandleFunc("GET "+AuditPath, s.audit)
	mux.HandleFunc("GET "+ExplainPath, s.explain)
	mux.Handle("GET "+MetricsPath, metrics.Handler())
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Close stops the server and closes all connections.
func (s *Server) Close() { _ = s.server.Close() }

// Shutdown stops the server after the requests in progress are answered or ctx is done.
func (s *Server) Shutdown(ctx context.Context) { _ = s.server.Shutdown(ctx) }

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.daemon.Status())
}

func (s *Server) flows(w http.ResponseWriter, r *http.Request) {
	limit, err := uintParameter(r, "limit", defaultFlowLimit)
	if err != nil || limit > maxFlowLimit {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: "limit: want a number up to " + strconv.Itoa(maxFlowLimit)})
		return
	}
	writeJSON(w, http.StatusOK, s.daemon.Flows(int(limit)))
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	after, err := uintParameter(r, "after", 0)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: "after: want a sequence number"})
		return
	}
	writeJSON(w, http.StatusOK, s.trail.Records(after))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	key, err := ParseKey(query.Get("protocol"), query.Get("source"), query.Get("destination"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, s.daemon.Explain(key))
}

// uintParameter returns the value of a query parameter, or fallback if it is missing.
func uintParameter(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ParseKey returns the key of the flow with the protocol "tcp" or "udp" and two endpoints,
// each in the form address:port. It returns an error if one of them is invalid.
func ParseKey(protocol, source, destination string) (flow.Key, error) {
	from, err := netip.ParseAddrPort(source)
	if err != nil {
		return flow.Key{}, errors.New("source: want address:port, got " + strconv.Quote(source))
	}
	to, err := netip.ParseAddrPort(destination)
	if err != nil {
		return flow.Key{}, errors.New("destination: want address:port, got " + strconv.Quote(destination))
	}
	for _, p := range []flow.Protocol{flow.TCP, flow.UDP} {
		if p.String() == protocol {
			return flow.NewKey(p, flow.NewEndpoint(from), flow.NewEndpoint(to)), nil
		}
	}
	return flow.Key{}, errors.New("protocol: want tcp or udp, got " + strconv.Quote(protocol))
}
