package targets_test

import (
	"fmt"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/targets"
)

// BenchmarkProbeStart reports the number of probes that one host and all hosts receive in
// the busiest 100 ms after all daemons start at once, the latter relative to the mean of
// the first minute.
func BenchmarkProbeStart(b *testing.B) {
	const vms, hosts, domains = 160, 990, 4
	snapshot, list := newTables(b, hosts, domains), newList(b, vms, domains)
	for range b.N {
		var monitors []*targets.Monitor
		for i := range vms {
			m := targets.New(vmID(i))
			m.SetTables(0, snapshot)
			m.SetList(0, list)
			monitors = append(monitors, m)
		}
		busiest, total, hostPeak, steps := 0, 0, 0, 0
		for now := clock.Millis(0); now < clock.Minute; now += 100 {
			started := 0
			perHost := make(map[flow.TargetID]int)
			for _, m := range monitors {
				for _, p := range m.TakeDueProbes(now) {
					started++
					perHost[p.ID()]++
					hostPeak = max(hostPeak, perHost[p.ID()])
				}
			}
			busiest, total, steps = max(busiest, started), total+started, steps+1
		}
		mean := float64(total) / float64(steps)
		b.ReportMetric(float64(busiest)/mean, "peak/mean")
		b.ReportMetric(float64(hostPeak), "peak/host")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkMonitor reports the time that a monitor needs for one second of work, with one
// host that fails and recovers every five steps, and for a change of the list, for several
// numbers of hosts in a domain with a sixth as many daemons.
func BenchmarkMonitor(b *testing.B) {
	for _, hosts := range []int{140, 1400, 14000} {
		snapshot, list := newTables(b, hosts, 1), newList(b, max(1, hosts*2286/14142), 1)
		m := targets.New(vmID(0))
		m.SetTables(0, snapshot)
		m.SetList(0, list)
		b.Run(fmt.Sprintf("second/hosts=%d", hosts), func(b *testing.B) {
			now := clock.Millis(0)
			probes := 0
			for i := range b.N {
				now += clock.Second
				probes += len(m.TakeDueProbes(now))
				m.AddEvidence(now, []placement.Tally{
					placement.NewTally(hostID(0), 10, 0, 0),
					placement.NewTally(hostID(1), int64(i/5%2*10), int64(10-i/5%2*10), 0),
				})
				m.Tick(now)
			}
			b.ReportMetric(float64(probes)/float64(b.N), "probes/s")
		})
		b.Run(fmt.Sprintf("list/hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				m.SetList(0, list)
			}
		})
	}
}

// BenchmarkDetection reports the seconds until a dead target is ejected, at 36 new flows
// per second, for several kinds of evidence.
func BenchmarkDetection(b *testing.B) {
	tests := []struct {
		name string
		dead behavior
	}{
		{"refuses", behavior{resets: 36, placed: 36}},
		{"repeated_openings", behavior{unanswered: 36, placed: 36}},
		{"sends_nothing", behavior{placed: 36}},
		{"probes_only", behavior{probed: true}},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			for range b.N {
				m := newMonitor(b)
				run(m, 0, 10*clock.Second, nil)
				seconds := 0.0
				for ; seconds < 60; seconds++ {
					now := 10*clock.Second + clock.Millis(seconds)*clock.Second
					if len(run(m, now, now+clock.Second, []behavior{test.dead})) > 0 {
						break
					}
				}
				b.ReportMetric(seconds, "detect_s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
