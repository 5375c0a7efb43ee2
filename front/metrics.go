package front

import (
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Metric holds the name, type, unit and meaning of a metric. A test compares the metrics with the
// table in docs/METRICS-FRONT.md.
type Metric struct {
	Name    string
	Type    string
	Unit    string
	Meaning string
}

// Types of metrics.
const (
	counterType   = "counter"
	gaugeType     = "gauge"
	histogramType = "histogram"
)

var (
	packetsMetric         = Metric{"almondflow_front_packets", counterType, "packets", "Client packets by outcome (tag reason)."}
	flowsMetric           = Metric{"almondflow_front_flows", gaugeType, "flows", "Flows in the flow table of the VM."}
	siblingsMetric        = Metric{"almondflow_front_siblings", gaugeType, "vms", "Other entry VMs that were alive in the last 4 s."}
	suspectsMetric        = Metric{"almondflow_front_suspects", gaugeType, "targets", "Targets that did not answer openings forwarded by this VM."}
	failingTargetsMetric  = Metric{"almondflow_front_bad_targets", gaugeType, "targets", "Failing targets, which new flows avoid because more of their requests fail than usual."}
	shedRequestsMetric    = Metric{"almondflow_front_shed_requests", counterType, "requests", "Requests that full targets shed, which does not count against them."}
	overloadedPoolsMetric = Metric{"almondflow_front_full_pools", gaugeType, "pools", "Pools whose targets have more work than they can finish in time."}
	refusedOpeningsMetric = Metric{"almondflow_front_refused_openings", counterType, "openings", "Openings refused for lack of room, by priority (tag priority)."}
	tablesVersionMetric   = Metric{"almondflow_front_tables_version", gaugeType, "version", "Version of the tables in use."}
	drainedDomainsMetric  = Metric{"almondflow_front_drained_domains", gaugeType, "domains", "Failure domains that the operator drains, whose targets get no new flows."}
	readyAfterMetric      = Metric{"almondflow_front_ready_after", gaugeType, "milliseconds", "Time from the start of the process to its first view."}
	droppedLinesMetric    = Metric{"almondflow_front_log_lines_dropped", counterType, "lines", "Log lines dropped because nothing read them in time."}
	controlBytesMetric    = Metric{"almondflow_front_control_sent", counterType, "bytes", "Bytes of messages sent to other entry VMs."}
	unsentMessagesMetric  = Metric{"almondflow_front_control_left_out", counterType, "messages", "Messages to other entry VMs that were not sent because of the rate limit."}
	loadSentMetric        = Metric{"almondflow_front_load_sent", counterType, "messages", "Messages about load sent to other entry VMs."}
	loadBytesMetric       = Metric{"almondflow_front_load_bytes", counterType, "bytes", "Bytes of these messages, which almondflow_front_control_sent counts, too."}
	loadReceivedMetric    = Metric{"almondflow_front_load_received", counterType, "messages", "Messages about load that other entry VMs sent."}
	loadReportersMetric   = Metric{"almondflow_front_load_reporters", gaugeType, "vms", "Entry VMs of the own failure domain whose reports of load count."}
	loadAgeMetric         = Metric{"almondflow_front_load_age", histogramType, "milliseconds", "Mean age of these reports, sampled four times a second while there are any."}
	storeCallMetric       = Metric{"almondflow_front_store_call", histogramType, "milliseconds", "Duration of calls to the store, including failed ones."}
	viewAgeMetric         = Metric{"almondflow_front_view_age", histogramType, "milliseconds", "Age of the view, sampled four times a second."}
	probesMetric          = Metric{"almondflow_front_target_probes", counterType, "probes", "TCP connections to targets, by what they showed (tag outcome)."}
	probeTimeMetric       = Metric{"almondflow_front_probe_time", histogramType, "milliseconds", "Time until a probe of a target had an outcome."}
	remoteOpeningsMetric  = Metric{"almondflow_front_remote_openings", counterType, "flows", "New flows that were sent to targets of other failure domains."}
	refusedShareMetric    = Metric{"almondflow_front_refused_share", gaugeType, "share",
		"Share of requests to be refused for lack of room, of callers that try three times, by priority (tag priority), " +
			"of the pool with the greatest; they go to other failure domains while these have room."}
	responseTimeMetric = Metric{"almondflow_front_expected_response", gaugeType, "milliseconds",
		"Time in which a new request is expected to be answered in the own failure domain " +
			"(tag service; tag regions for routes that are bound to some)."}
	spillShareMetric = Metric{"almondflow_front_spill_share", gaugeType, "fraction",
		"Share of a service's new flows that is sent to other failure domains because requests wait longer " +
			"in the own one (tag service; tag regions for routes that are bound to some)."}
	passedOverMetric = Metric{"almondflow_front_entries_passed_over", counterType, "entries",
		"Entries of targets in the store that were not believed, by reason (tag reason)."}
	packetTimeMetric = Metric{"almondflow_front_packet_time", histogramType, "microseconds",
		"Time from reading a packet to sending it on, sampled for one packet in 64."}
)

// AllMetrics returns the descriptions of all metrics of the daemon.
func AllMetrics() []Metric {
	return []Metric{
		packetsMetric, flowsMetric, siblingsMetric, suspectsMetric, failingTargetsMetric, shedRequestsMetric, overloadedPoolsMetric, refusedOpeningsMetric, refusedShareMetric, drainedDomainsMetric, tablesVersionMetric, readyAfterMetric,
		droppedLinesMetric, controlBytesMetric, unsentMessagesMetric,
		loadSentMetric, loadBytesMetric, loadReceivedMetric, loadReportersMetric, loadAgeMetric, probesMetric,
		remoteOpeningsMetric, responseTimeMetric, spillShareMetric, storeCallMetric, viewAgeMetric, packetTimeMetric, probeTimeMetric, passedOverMetric,
	}
}

// Upper bounds of the histogram buckets, in the unit of the metric.
var (
	storeCallBuckets  = tally.ValueBuckets{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 1500}
	viewAgeBuckets    = tally.ValueBuckets{100, 200, 500, 1000, 1500, 2000, 3000, 5000, 10000, 30000}
	loadAgeBuckets    = tally.ValueBuckets{100, 200, 500, 1000, 1500, 2000, 3000, 4000}
	probeTimeBuckets  = tally.ValueBuckets{1, 2, 5, 10, 20, 50, 100, 200, 500}
	packetTimeBuckets = tally.ValueBuckets{5, 10, 20, 50, 100, 200, 500, 1000, 10000}
)

// metrics holds the counters and histograms of a daemon. Gauges are set when they are scraped.
type metrics struct {
	scope           tally.Scope
	storeCalls      tally.Histogram
	viewAges        tally.Histogram
	packetTimes     tally.Histogram
	probeTimes      tally.Histogram
	controlBytes    tally.Counter
	droppedLines    tally.Counter
	shedRequests    tally.Counter
	unsentMessages  tally.Counter
	loadSent        tally.Counter
	loadBytes       tally.Counter
	loadReceived    tally.Counter
	loadAges        tally.Histogram
	packets         [inband.ReasonCount]tally.Counter
	reportedCounts  [inband.ReasonCount]uint64 // packets counted at the last scrape
	reportedDropped int64                      // lines dropped at the last scrape
	reportedRefused map[int]int                // openings refused at the last scrape, by priority
	remoteOpenings  tally.Counter
	passedOver      [catalog.FlawCount]tally.Counter
	reportedRemote  int // openings counted at the last scrape
}

func newMetrics() *metrics {
	scope, _ := tally.NewRootScope(tally.ScopeOptions{Reporter: tally.NullStatsReporter, OmitCardinalityMetrics: true}, 0) // there is no reporter; scrapes read snapshots
	m := &metrics{
		scope:           scope,
		reportedRefused: map[int]int{},
		storeCalls:      scope.Histogram(storeCallMetric.Name, storeCallBuckets),
		viewAges:        scope.Histogram(viewAgeMetric.Name, viewAgeBuckets),
		packetTimes:     scope.Histogram(packetTimeMetric.Name, packetTimeBuckets),
		probeTimes:      scope.Histogram(probeTimeMetric.Name, probeTimeBuckets),
		loadAges:        scope.Histogram(loadAgeMetric.Name, loadAgeBuckets),
		loadSent:        scope.Counter(loadSentMetric.Name),
		loadBytes:       scope.Counter(loadBytesMetric.Name),
		loadReceived:    scope.Counter(loadReceivedMetric.Name),
		shedRequests:    scope.Counter(shedRequestsMetric.Name),
		controlBytes:    scope.Counter(controlBytesMetric.Name),
		remoteOpenings:  scope.Counter(remoteOpeningsMetric.Name),
		droppedLines:    scope.Counter(droppedLinesMetric.Name),
		unsentMessages:  scope.Counter(unsentMessagesMetric.Name),
	}
	for reason := range m.packets {
		m.packets[reason] = scope.Tagged(map[string]string{"reason": inband.Reason(reason).String()}).Counter(packetsMetric.Name)
	}
	for flaw := catalog.NoFlaw + 1; flaw < catalog.FlawCount; flaw++ {
		m.passedOver[flaw] = scope.Tagged(map[string]string{"reason": flaw.String()}).Counter(passedOverMetric.Name)
	}
	return m
}

// recordPassedOver counts entries that were not believed.
func (m *metrics) recordPassedOver(log *catalog.PassedOverLog) {
	for flaw, count := range log.Counts {
		if count > 0 {
			m.passedOver[flaw].Inc(int64(count))
		}
	}
}

// recordPacketTime records the processing time of a packet. A zero start marks a packet that is
// not timed.
func (m *metrics) recordPacketTime(startedAt time.Time) {
	if !startedAt.IsZero() {
		m.packetTimes.RecordValue(float64(time.Since(startedAt).Microseconds()))
	}
}

// recordLoadSent records how many messages about load of a size were sent.
func (m *metrics) recordLoadSent(messages, size int) {
	m.loadSent.Inc(int64(messages))
	m.loadBytes.Inc(int64(messages * size))
}

// recordProbe records what a probe of a target showed, and how long that took.
func (m *metrics) recordProbe(outcome inband.ProbeOutcome, took clock.Millis) {
	m.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter(probesMetric.Name).Inc(1)
	m.probeTimes.RecordValue(float64(took))
}

// serveMetrics answers with all metrics in the Prometheus text format.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.updateMetrics(d.clock.Now())
	snapshot := d.metrics.scope.(tally.TestScope).Snapshot()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := writeSnapshot(w, snapshot); err != nil {
		d.log.Warn("answer_not_sent", "error", err)
	}
}

// updateMetrics updates the counters and gauges that are derived from other state.
func (d *Daemon) updateMetrics(now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.metrics
	for reason, counter := range m.packets {
		counter.Inc(int64(d.reasonCounts[reason] - m.reportedCounts[reason]))
	}
	m.reportedCounts = d.reasonCounts
	dropped := d.logWriter.dropped.Load()
	m.droppedLines.Inc(dropped - m.reportedDropped)
	m.reportedDropped = dropped
	m.shedRequests.Inc(d.engine.TakeShedRequests())
	m.remoteOpenings.Inc(int64(d.engine.RemoteOpenings() - m.reportedRemote))
	m.reportedRemote = d.engine.RemoteOpenings()
	for _, s := range d.engine.Spillings() {
		tags := map[string]string{"service": s.Service}
		if len(s.AllowedRegions) > 0 {
			tags["regions"] = regionNames(s.AllowedRegions)
		}
		tagged := m.scope.Tagged(tags)
		tagged.Gauge(responseTimeMetric.Name).Update(s.ResponseTime)
		tagged.Gauge(spillShareMetric.Name).Update(s.Share)
	}
	version, _ := d.currentVersions()
	for _, g := range []struct {
		metric Metric
		value  int64
	}{
		{flowsMetric, int64(d.engine.Flows())},
		{siblingsMetric, int64(d.members.CountAlive(now))},
		{suspectsMetric, int64(d.engine.Suspects())},
		{failingTargetsMetric, int64(d.engine.FailingTargets())},
		{overloadedPoolsMetric, int64(d.engine.OverloadedPools())},
		{loadReportersMetric, int64(d.engine.LoadReporters(now))},
		{drainedDomainsMetric, int64(len(d.catalog.Drains()))},
		{tablesVersionMetric, version},
		{readyAfterMetric, int64(d.readyAt)},
	} {
		m.scope.Gauge(g.metric.Name).Update(float64(g.value))
	}
	d.metrics.updateRefusals(d.engine.AdmissionStatuses())
}

// writeSnapshot writes all metrics: counters and gauges, ordered by name and tags, and then
// histograms, ordered by name.
func writeSnapshot(w io.Writer, s tally.Snapshot) error {
	var lines []string
	for _, c := range s.Counters() {
		lines = append(lines, fmt.Sprintf("%s%s %d", c.Name(), formatTags(c.Tags()), c.Value()))
	}
	for _, g := range s.Gauges() {
		lines = append(lines, fmt.Sprintf("%s%s %g", g.Name(), formatTags(g.Tags()), g.Value()))
	}
	slices.Sort(lines)
	histograms := s.Histograms()
	for _, id := range slices.Sorted(maps.Keys(histograms)) {
		lines = append(lines, histogramLines(histograms[id].Name(), histograms[id].Values())...)
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

// formatTags formats tags as labels, ordered by name.
func formatTags(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		pairs = append(pairs, fmt.Sprintf("%s=%q", name, tags[name]))
	}
	return "{" + strings.Join(pairs, ",") + "}"
}

// histogramLines formats a histogram with cumulative buckets, as scrapers expect.
func histogramLines(name string, buckets map[float64]int64) []string {
	var lines []string
	total := int64(0)
	for _, upperBound := range slices.Sorted(maps.Keys(buckets)) {
		total += buckets[upperBound]
		label := fmt.Sprintf("%g", upperBound)
		if upperBound == math.MaxFloat64 {
			label = "+Inf"
		}
		lines = append(lines, fmt.Sprintf("%s_bucket{le=%q} %d", name, label, total))
	}
	return append(lines, fmt.Sprintf("%s_count %d", name, total))
}
