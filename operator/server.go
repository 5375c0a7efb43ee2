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

// Paths of the operator endpoint.
const (
	// StatusPath answers with a Status.
	StatusPath = "/v1/status"
	// FlowsPath answers with a list of Flow, at most as many as the query's limit.
	FlowsPath = "/v1/flows"
	// AuditPath answers with a list of Record after the query's sequence number.
	AuditPath = "/v1/audit"
	// ExplainPath answers with an Explanation of the query's protocol, source and
	// destination.
	ExplainPath = "/v1/explain"
	// MetricsPath answers with all metrics in the Prometheus text format.
	MetricsPath = "/metrics"
)

// Limits of one answer.
const (
	defaultFlowLimit = 100
	maxFlowLimit     = 10_000
	readTimeout      = 5 * time.Second
)

// Problem is the body of an answer that reports an error.
type Problem struct {
	Error string `json:"error"`
}

// Server is the operator endpoint of one daemon.
type Server struct {
	listener net.Listener
	server   *http.Server
	daemon   Daemon
	trail    *Trail
}

// NewServer serves a bound listener until Close.
func NewServer(listener net.Listener, daemon Daemon, trail *Trail, metrics *Metrics) *Server {
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

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.server.Close() }

// Shutdown ends the server once the answers in progress are written or ctx is done.
func (s *Server) Shutdown(ctx context.Context) { _ = s.server.Shutdown(ctx) }

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.daemon.Status())
}

func (s *Server) flows(w http.ResponseWriter, r *http.Request) {
	limit, err := number(r, "limit", defaultFlowLimit)
	if err != nil || limit > maxFlowLimit {
		answer(w, http.StatusBadRequest, Problem{Error: "limit: want a number up to " + strconv.Itoa(maxFlowLimit)})
		return
	}
	answer(w, http.StatusOK, s.daemon.Flows(int(limit)))
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	after, err := number(r, "after", 0)
	if err != nil {
		answer(w, http.StatusBadRequest, Problem{Error: "after: want a sequence number"})
		return
	}
	answer(w, http.StatusOK, s.trail.Records(after))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	key, err := ParseKey(query.Get("protocol"), query.Get("source"), query.Get("destination"))
	if err != nil {
		answer(w, http.StatusBadRequest, Problem{Error: err.Error()})
		return
	}
	answer(w, http.StatusOK, s.daemon.Explain(key))
}

func number(r *http.Request, name string, missing uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return missing, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ParseKey builds the key of a flow from a protocol name and two endpoints.
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
