package faults

import (
	"flag"
	"os"
	"testing"

	"github.com/almondflow/almondflow/clock"
)

var benchSeed = flag.Uint64("faults.bench_seed", 1, "seed of the simulations of benchmarks")

// Load of BenchmarkFault, in flows per second.
const (
	benchFeeds   = 900
	benchHolds   = 80
	benchUploads = 20
)

// scenarioResult holds what was measured in a scenario.
type scenarioResult struct {
	brokenPerMillion   float64
	imbalance          float64 // of feeds, highest sample of the last imbalanceWindow
	doubleRuns         int
	falseRefusals      int
	misrouted          int
	lateFlows          int
	refusedPerMillion  float64
	unopenedPerMillion float64
	controlRate        float64 // bytes per second of each VM
	slowestConvergence clock.Millis
	copyBytesPerFlow   float64
	violations         []string
	traceLines         []string
}

// playScenario runs a scenario under the given load, in flows per second.
func playScenario(c config, sc scenario, feeds, holds, uploads int) scenarioResult {
	s := newSimulation(c)
	s.advance(warmUp)
	loadDuration := preFaultDuration + sc.duration + settleDuration
	s.scheduleLoad(loadDuration, feeds, holds, uploads)
	s.advance(preFaultDuration)
	s.oracle.startCounting()
	controlBefore := s.controlBytes()
	sc.start(s)
	var worstImbalance float64
	observationEnd := s.now + sc.duration + settleDuration
	for s.now < observationEnd {
		s.advance(clock.Second)
		if s.now > observationEnd-imbalanceWindow {
			worstImbalance = max(worstImbalance, s.imbalance(feed))
		}
	}
	controlRate := float64(s.controlBytes()-controlBefore) / float64(len(s.platform.vms)) / (float64(sc.duration+settleDuration) / float64(clock.Second))
	s.advance(40 * clock.Second) // until the remaining flows have ended
	return s.result(worstImbalance, controlRate)
}

func (s *simulation) controlBytes() uint64 {
	var total uint64
	for _, v := range s.vms {
		total += v.controlBytes
	}
	return total
}

func (s *simulation) result(imbalance, rate float64) scenarioResult {
	o := &s.oracle
	return scenarioResult{
		brokenPerMillion:   perMillion(o.brokenFlows, o.openAtFault),
		imbalance:          imbalance,
		doubleRuns:         o.doubleRuns,
		falseRefusals:      o.falseRefusals,
		misrouted:          o.misrouted,
		lateFlows:          o.lateFlows,
		refusedPerMillion:  perMillion(o.refusedHolds+o.unansweredHolds, o.offeredHolds),
		unopenedPerMillion: perMillion(o.failedOpenings, o.failedOpenings+o.openedFlows),
		controlRate:        rate,
		slowestConvergence: o.slowestConvergence,
		copyBytesPerFlow:   float64(s.copyBytes) / float64(max(1, o.openedFlows)),
		violations:         o.violations,
		traceLines:         s.traceLines,
	}
}

func perMillion(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole) * 1e6
}

func (r *scenarioResult) report(b *testing.B) {
	b.ReportMetric(r.brokenPerMillion, "broken_ppm")
	b.ReportMetric(r.imbalance, "imbalance")
	b.ReportMetric(float64(r.doubleRuns), "double_runs")
	b.ReportMetric(float64(r.falseRefusals), "false_refusals")
	b.ReportMetric(float64(r.misrouted), "misrouted")
	b.ReportMetric(float64(r.lateFlows), "late_flows")
	b.ReportMetric(r.refusedPerMillion, "refused_ppm")
	b.ReportMetric(r.unopenedPerMillion, "unopened_ppm")
	b.ReportMetric(r.controlRate, "control_B/s")
	b.ReportMetric(float64(r.slowestConvergence), "converge_ms")
}

// BenchmarkFault measures all scenarios with almondflow and with the baseline.
func BenchmarkFault(b *testing.B) {
	for _, sc := range scenarios() {
		for _, version := range []string{"almondflow", "naive"} {
			b.Run(sc.name+"/"+version, func(b *testing.B) {
				c := marmaraConfig(*benchSeed)
				c.naive = version == "naive"
				c.probeTargets = sc.probeTargets
				c.trace = os.Getenv("ALMONDFLOW_TRACE") != ""
				var r scenarioResult
				for b.Loop() {
					r = playScenario(c, sc, benchFeeds, benchHolds, benchUploads)
				}
				r.report(b)
				r.print(b)
			})
		}
	}
}

func (r *scenarioResult) print(b *testing.B) {
	for i, line := range r.violations {
		if i == 10 {
			b.Logf("and %d more", len(r.violations)-i)
			break
		}
		b.Log(line)
	}
	for _, line := range r.traceLines {
		b.Log(line)
	}
}
