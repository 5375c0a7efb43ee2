package faults

import (
	"flag"
	"os"
	"testing"

	"github.com/almondflow/almondflow/clock"
)

var benchSeed = flag.Uint64("faults.bench_seed", 1, "seed of the worlds of benchmarks")

// Flows a second that benchmarks open.
const (
	benchFeeds   = 900
	benchHolds   = 80
	benchUploads = 20
)

// outcome is what a scenario measured.
type outcome struct {
	brokenPerMillion   float64
	imbalance          float64
	doubleRuns         int
	falseRefusals      int
	misrouted          int
	lateFlows          int
	refusedPerMillion  float64
	unopenedPerMillion float64
	controlRate        float64
	converged          clock.Millis
	copiedPerFlow      float64 // bytes
	violations         []string
	lines              []string
}

func play(c config, s scenario, feeds, holds, uploads int) outcome {
	w := newWorld(c)
	w.run(warmUp)
	total := steadySpan + s.span + settleSpan
	w.load(total, feeds, holds, uploads)
	w.run(steadySpan)
	w.oracle.watch()
	before := w.controlBytes()
	s.start(w)
	var worst float64
	end := w.now + s.span + settleSpan
	for w.now < end {
		w.run(clock.Second)
		if w.now > end-finalWindow {
			worst = max(worst, w.imbalance(feed))
		}
	}
	rate := float64(w.controlBytes()-before) / float64(len(w.platform.vms)) / (float64(s.span+settleSpan) / float64(clock.Second))
	w.run(40 * clock.Second) // let flows end
	return w.outcome(worst, rate)
}

func (w *world) controlBytes() uint64 {
	var total uint64
	for _, v := range w.vms {
		total += v.bytes
	}
	return total
}

func (w *world) outcome(imbalance, rate float64) outcome {
	o := &w.oracle
	return outcome{
		brokenPerMillion:   perMillion(o.brokenFlows, o.openAtFault),
		imbalance:          imbalance,
		doubleRuns:         o.doubleRuns,
		falseRefusals:      o.falseRefusals,
		misrouted:          o.misrouted,
		lateFlows:          o.lateFlows,
		refusedPerMillion:  perMillion(o.refusedHolds+o.unansweredHolds, o.offeredHolds),
		unopenedPerMillion: perMillion(o.failedOpenings, o.failedOpenings+o.openFlows),
		controlRate:        rate,
		converged:          o.converged,
		copiedPerFlow:      float64(w.copied) / float64(max(1, o.openFlows)),
		violations:         o.violations,
		lines:              w.lines,
	}
}

func perMillion(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole) * 1e6
}

func (o *outcome) report(b *testing.B) {
	b.ReportMetric(o.brokenPerMillion, "broken_ppm")
	b.ReportMetric(o.imbalance, "imbalance")
	b.ReportMetric(float64(o.doubleRuns), "double_runs")
	b.ReportMetric(float64(o.falseRefusals), "false_refusals")
	b.ReportMetric(float64(o.misrouted), "misrouted")
	b.ReportMetric(float64(o.lateFlows), "late_flows")
	b.ReportMetric(o.refusedPerMillion, "refused_ppm")
	b.ReportMetric(o.unopenedPerMillion, "unopened_ppm")
	b.ReportMetric(o.controlRate, "control_B/s")
	b.ReportMetric(float64(o.converged), "converge_ms")
}

func BenchmarkFault(b *testing.B) {
	for _, s := range scenarios() {
		for _, version := range []string{"almondflow", "naive"} {
			b.Run(s.name+"/"+version, func(b *testing.B) {
				c := marmara(*benchSeed)
				c.naive = version == "naive"
				c.health = s.probes
				c.trace = os.Getenv("ALMONDFLOW_TRACE") != ""
				var o outcome
				for b.Loop() {
					o = play(c, s, benchFeeds, benchHolds, benchUploads)
				}
				o.report(b)
				o.print(b)
			})
		}
	}
}

func (o *outcome) print(b *testing.B) {
	for i, line := range o.violations {
		if i == 10 {
			b.Logf("and %d more", len(o.violations)-i)
			break
		}
		b.Log(line)
	}
	for _, line := range o.lines {
		b.Log(line)
	}
}
