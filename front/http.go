package front

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"
)

// headerTimeout limits the time in which a client must send the header of a request.
const headerTimeout = 2 * time.Second

// Paths at the operator address. All but /metrics return JSON.
const (
	// StatusPath returns a Status.
	StatusPath = "/status"
	// ExplainPath returns an inband.Explanation of the flow with the parameters client and
	// service, each in the form address:port.
	ExplainPath = "/explain"
	// AuditPath returns the list of AuditRecord values, oldest first.
	AuditPath = "/audit"
	// metricsPath returns all metrics in the Prometheus text format.
	metricsPath = "/metrics"
)

// startServers starts the HTTP servers for readiness checks, siblings and operators.
func (d *Daemon) startServers() []*http.Server {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+d.options.ReadinessPath, d.serveReadiness)
	views := http.NewServeMux()
	views.HandleFunc("GET "+viewPath, d.serveView)
	operator := http.NewServeMux()
	operator.HandleFunc("GET "+StatusPath, d.serveStatus)
	operator.HandleFunc("GET "+ExplainPath, d.serveExplain)
	operator.HandleFunc("GET "+AuditPath, d.serveAudit)
	operator.HandleFunc("GET "+metricsPath, d.serveMetrics)
	return []*http.Server{
		d.startServer(d.sockets.readiness, readiness),
		d.startServer(d.sockets.views, views),
		d.startServer(d.sockets.operator, operator),
	}
}

// startServer starts an HTTP server.
func (d *Daemon) startServer(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("serving_ended", "address", listener.Addr(), "error", err)
		}
	}()
	return server
}

// serveReadiness answers with status 200 if this VM can serve packets, which takes a complete
// view, and with 503 before that and during a shutdown.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	isReady := d.catalog.IsComplete() && !d.isStopping
	d.mu.Unlock()
	if !isReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// writeJSON answers with a value encoded as JSON.
func (d *Daemon) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		d.log.Warn("answer_not_sent", "error", err)
	}
}
