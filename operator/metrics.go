package operator

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/almondflow/almondflow/result"
)

// MetricType is the type of a metric.
type MetricType string

// Types of metrics.
const (
	// Counter metrics never decrease during one run of a daemon.
	Counter MetricType = "counter"
	// Gauge metrics can increase and decrease.
	Gauge MetricType = "gauge"
)

// Metric holds the name, type, unit and meaning of a metric. docs/METRICS.md lists all
// metrics, and a test compares the page with AllMetrics.
type Metric struct {
	name       string
	metricType MetricType
	unit       string
	meaning    string
}

// Name returns the name with its prefix, as it is scraped.
func (m Metric) Name() string { return metricPrefix + "_" + m.name }

// Type returns the type of the metric.
func (m Metric) Type() MetricType { return m.metricType }

// Unit returns the unit of the value.
func (m Metric) Unit() string { return m.unit }

// Meaning returns a description for operators.
func (m Metric) Meaning() string { return m.meaning }

// metricPrefix is the first part of every metric name.
const metricPrefix = "almondflow"

// reportInterval is the time between two reports of tally to the Prometheus registry.
const reportInterval = time.Second

var (
	packets         = Metric{"packets", Counter, "packets", "Packets by result code (tag result)."}
	controlSent     = Metric{"control_sent", Counter, "bytes", "Bytes of control traffic sent to other daemons and the platform."}
	controlReceived = Metric{"control_received", Counter, "bytes", "Bytes of control traffic received from other daemons and the platform."}
	platformCalls   = Metric{"platform_calls", Counter, "calls", "Calls to the platform's service; a pending watch counts as one."}
	auditRecords    = Metric{"audit_records", Counter, "records", "Changes recorded in the audit trail."}
	flowsHeld       = Metric{"flows", Gauge, "flows", "Flows that the daemon holds a record of."}
	tableVersion    = Metric{"table_version", Gauge, "version", "Version of the tables in force."}
	listVersion     = Metric{"list_version", Gauge, "version", "Version of the list of entry VMs in force."}
	peersAlive      = Metric{"peers_alive", Gauge, "vms", "Other entry VMs of the list believed alive."}
	peersSuspected  = Metric{"peers_suspected", Gauge, "vms", "Other entry VMs of the list suspected of having failed."}
	votingAllowed   = Metric{"voting", Gauge, "boolean", "1 while the daemon places non-repeatable flows, else 0."}
)

// AllMetrics returns the descriptions of all metrics.
func AllMetrics() []Metric {
	return []Metric{
		packets, controlSent, controlReceived, platformCalls,
		auditRecords, flowsHeld, tableVersion, listVersion, peersAlive, peersSuspected, votingAllowed,
	}
}

// Sample holds the values of all metrics at one point in time. Counters are totals since
// the start of the daemon.
type Sample struct {
	Results         map[result.Code]uint64
	ControlSent     uint64
	ControlReceived uint64
	PlatformCalls   uint64
	AuditRecords    uint64
	Flows           int
	TableVersion    uint64
	ListVersion     uint64
	PeersAlive      int
	PeersSuspected  int
	Voting          bool
}

// Metrics exposes the latest Sample to scrapes. Report must not be called concurrently.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	previous Sample
}

// NewMetrics returns Metrics that add the tags to all values.
func NewMetrics(tags map[string]string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              prometheus.DefaultSeparator,
		Tags:                   tags,
		CachedReporter:         reporter,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// sanitizer returns options that allow the characters of entry VM and domain names in tag
// values.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters.Characters = []rune{'_', '-', '.'}
	return &options
}

// Handler returns the HTTP handler for scrapes.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the last values to the registry and stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Report updates all metrics with the values of a sample.
func (m *Metrics) Report(s Sample) {
	for code, count := range s.Results {
		scope := m.scope.Tagged(map[string]string{"result": code.String()})
		scope.Counter(packets.name).Inc(int64(count - m.previous.Results[code]))
	}
	m.addTotal(controlSent, s.ControlSent, m.previous.ControlSent)
	m.addTotal(controlReceived, s.ControlReceived, m.previous.ControlReceived)
	m.addTotal(platformCalls, s.PlatformCalls, m.previous.PlatformCalls)
	m.addTotal(auditRecords, s.AuditRecords, m.previous.AuditRecords)
	m.setGauge(flowsHeld, float64(s.Flows))
	m.setGauge(tableVersion, float64(s.TableVersion))
	m.setGauge(listVersion, float64(s.ListVersion))
	m.setGauge(peersAlive, float64(s.PeersAlive))
	m.setGauge(peersSuspected, float64(s.PeersSuspected))
	voting := 0.0
	if s.Voting {
		voting = 1
	}
	m.setGauge(votingAllowed, voting)
	m.previous = s
}

// addTotal increases a counter by the difference of two totals.
func (m *Metrics) addTotal(metric Metric, total, previous uint64) {
	m.scope.Counter(metric.name).Inc(int64(total - previous))
}

// setGauge sets the value of a gauge.
func (m *Metrics) setGauge(metric Metric, value float64) {
	m.scope.Gauge(metric.name).Update(value)
}
