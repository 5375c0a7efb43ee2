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

// Form says how a metric behaves over time.
type Form string

// Forms of metrics.
const (
	// Counter metrics only rise during one run of a daemon.
	Counter Form = "counter"
	// Gauge metrics rise and fall.
	Gauge Form = "gauge"
)

// Metric describes one metric. docs/METRICS.md tables them and a test compares the two.
type Metric struct {
	name    string
	form    Form
	unit    string
	meaning string
}

// Name returns the name as scraped.
func (m Metric) Name() string { return metricPrefix + "_" + m.name }

// Form returns whether the metric is a counter or a gauge.
func (m Metric) Form() Form { return m.form }

// Unit returns the unit of the value.
func (m Metric) Unit() string { return m.unit }

// Meaning returns one sentence for operators.
func (m Metric) Meaning() string { return m.meaning }

const metricPrefix = "almondflow"

// reportInterval is the period at which tally hands values to the Prometheus registry.
const reportInterval = time.Second

var (
	packets         = Metric{"packets", Counter, "packets", "Packets by the result code that their decision ended in (tag result)."}
	controlSent     = Metric{"control_sent", Counter, "bytes", "Bytes of control traffic sent to other daemons and the platform."}
	controlReceived = Metric{"control_received", Counter, "bytes", "Bytes of control traffic received from other daemons and the platform."}
	platformCalls   = Metric{"platform_calls", Counter, "calls", "Calls of the platform's service, a waiting watch counted as one."}
	auditRecords    = Metric{"audit_records", Counter, "records", "Changes in force that the audit trail recorded."}
	flowsHeld       = Metric{"flows", Gauge, "flows", "Flows that the daemon holds a record of."}
	tableVersion    = Metric{"table_version", Gauge, "version", "Version of the tables in force."}
	listVersion     = Metric{"list_version", Gauge, "version", "Version of the list of entry VMs in force."}
	peersAlive      = Metric{"peers_alive", Gauge, "vms", "Other entry VMs of the list believed alive."}
	peersSuspected  = Metric{"peers_suspected", Gauge, "vms", "Other entry VMs of the list suspected of being gone."}
	votingMetric    = Metric{"voting", Gauge, "boolean", "1 while the daemon places flows that may not be repeated, else 0."}
)

// AllMetrics returns the description of every metric.
func AllMetrics() []Metric {
	return []Metric{
		packets, controlSent, controlReceived, platformCalls,
		auditRecords, flowsHeld, tableVersion, listVersion, peersAlive, peersSuspected, votingMetric,
	}
}

// Sample holds the values of one daemon at one moment. Counters are totals.
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

// Metrics exposes samples through a tally scope. Report is called by one goroutine.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	before   Sample
}

// NewMetrics returns metrics whose values carry the tags.
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

// sanitizer keeps the characters that names of entry VMs and domains may have.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters.Characters = []rune{'_', '-', '.'}
	return &options
}

// Handler returns the handler that answers scrapes.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close hands over the last values and ends the reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Report takes over a sample.
func (m *Metrics) Report(s Sample) {
	for code, count := range s.Results {
		scope := m.scope.Tagged(map[string]string{"result": code.String()})
		scope.Counter(packets.name).Inc(int64(count - m.before.Results[code]))
	}
	m.count(controlSent, s.ControlSent, m.before.ControlSent)
	m.count(controlReceived, s.ControlReceived, m.before.ControlReceived)
	m.count(platformCalls, s.PlatformCalls, m.before.PlatformCalls)
	m.count(auditRecords, s.AuditRecords, m.before.AuditRecords)
	m.gauge(flowsHeld, float64(s.Flows))
	m.gauge(tableVersion, float64(s.TableVersion))
	m.gauge(listVersion, float64(s.ListVersion))
	m.gauge(peersAlive, float64(s.PeersAlive))
	m.gauge(peersSuspected, float64(s.PeersSuspected))
	voting := 0.0
	if s.Voting {
		voting = 1
	}
	m.gauge(votingMetric, voting)
	m.before = s
}

func (m *Metrics) count(metric Metric, now, before uint64) {
	m.scope.Counter(metric.name).Inc(int64(now - before))
}

func (m *Metrics) gauge(metric Metric, value float64) {
	m.scope.Gauge(metric.name).Update(value)
}
