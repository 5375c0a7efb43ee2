package placement_test

import (
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/placement"
)

// newFlowRate is the number of new flows per second at which the imbalance must stay within
// the limits.
const newFlowRate = 1000

// limits are the stated limits of the imbalance of a pool.
var limits = []struct {
	prefer  string
	maximum float64
}{{"balance", 1.05}, {"flows", 1.15}}

// faults are the events from which the imbalance must recover.
var faults = []struct {
	name   string
	inject func(s *simulation)
}{
	{"none", func(*simulation) {}},
	{"joining", func(s *simulation) {
		s.tables.hosts = append(s.tables.hosts, newHost(14, 4))
		s.tables.hosts[14].Mark = "joining"
		s.setTables()
	}},
	{"leaving", func(s *simulation) {
		s.tables.hosts[0].Mark = "leaving"
		s.setTables()
	}},
	{"target_crash", func(s *simulation) {
		s.crashTarget(s.tables.hosts[0].id())
		s.run(3*clock.Second, newFlowRate, nil)
		s.setEjected(s.tables.hosts[0].id())
	}},
	{"owner_crash", func(s *simulation) { s.crashOwner(0) }},
}

// joiningShare runs for a minute and returns the largest share of new flows that the
// joining host took within ten seconds, relative to a fair share of 15 hosts.
func (s *simulation) joiningShare(each func()) float64 {
	joining := newHost(14, 4)
	share := 0.0
	for range 6 {
		before := s.placed[joining.id()]
		s.run(10*clock.Second, newFlowRate, each)
		share = max(share, float64(s.placed[joining.id()]-before)*15/(10*newFlowRate))
	}
	return share
}

func TestJoiningTargetStaysWithinItsShare(t *testing.T) {
	const maximum = 1.5
	for _, limit := range limits {
		for _, fault := range faults {
			if fault.name != "joining" {
				continue
			}
			s := newSimulation(t, newTables(limit.prefer, 14, 4))
			s.run(2*clock.Minute, newFlowRate, nil)
			fault.inject(s)
			share := s.joiningShare(nil)
			if share == 0 || share > maximum {
				t.Errorf("prefer %s: joining target took %.3f of its fair share of new flows, want above 0 and at most %.1f", limit.prefer, share, maximum)
			}
		}
	}
}

// TestImbalanceStaysWithinStatedTargets guards against an uneven distribution that lasts
// longer than a minute after a fault.
func TestImbalanceStaysWithinStatedTargets(t *testing.T) {
	for _, limit := range limits {
		for _, fault := range faults {
			s := newSimulation(t, newTables(limit.prefer, 14, 4))
			s.run(2*clock.Minute, newFlowRate, nil)
			fault.inject(s)
			s.run(clock.Minute, newFlowRate, nil)
			if worst := s.worstImbalance(clock.Minute, newFlowRate); worst > limit.maximum {
				t.Errorf("prefer %s, fault %s: imbalance %.3f, want at most %.2f", limit.prefer, fault.name, worst, limit.maximum)
			}
		}
	}
}

// BenchmarkRecovery reports the largest imbalance in the second minute after each fault,
// the seconds until the imbalance stays below its limit, and the largest share of new
// flows that a joining target takes in 10 s, relative to its fair share.
func BenchmarkRecovery(b *testing.B) {
	for _, limit := range limits {
		for _, fault := range faults {
			b.Run(limit.prefer+"/"+fault.name, func(b *testing.B) {
				for range b.N {
					reportRecovery(b, limit.prefer, limit.maximum, fault.inject)
				}
			})
		}
	}
}

func reportRecovery(b *testing.B, prefer string, maximum float64, inject func(*simulation)) {
	s := newSimulation(b, newTables(prefer, 14, 4))
	s.run(2*clock.Minute, newFlowRate, nil)
	inject(s)
	start := s.now
	settledAt := start
	share := s.joiningShare(func() {
		if s.imbalance() > maximum {
			settledAt = s.now
		}
	})
	b.ReportMetric(s.worstImbalance(clock.Minute, newFlowRate), "imbalance")
	b.ReportMetric(float64(settledAt-start)/float64(clock.Second), "settle_s")
	if share > 0 {
		b.ReportMetric(share, "start_share")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkImbalance compares the policies with several sources of flow counts. Sources
// whose name begins with "gossip" add the counts that the other owners report to the owner's
// own counts, either with a delay or with one target reported at half of its load. Sources
// that begin with "damped" use placers that correct their weights by the same reports. With
// "outside", a target has a fifth more flows than the owners know of.
func BenchmarkImbalance(b *testing.B) {
	for _, policy := range []string{"naive", "hash", "two_choices", "least_loaded", "bounded_load"} {
		for _, source := range countSources {
			b.Run(policy+"/"+source.name, func(b *testing.B) {
				for range b.N {
					b.ReportMetric(policyImbalance(policy, source), "imbalance")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
		for _, source := range placerSources {
			b.Run(policy+"/"+source.name, func(b *testing.B) {
				for range b.N {
					b.ReportMetric(placerImbalance(b, policy, source), "imbalance")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// placerSource describes the reports that the placers receive.
type placerSource struct {
	name         string
	age          clock.Millis
	misreporting bool
	externalLoad float64
}

var placerSources = []placerSource{
	{name: "placer_own"},
	{name: "damped_1s", age: clock.Second},
	{name: "damped_10s", age: 10 * clock.Second},
	{name: "damped_lying", age: clock.Second, misreporting: true},
	{name: "outside_own", externalLoad: 0.2},
	{name: "outside_damped", externalLoad: 0.2, age: clock.Second},
}

func placerImbalance(b *testing.B, policy string, source placerSource) float64 {
	s := newSimulation(b, newTables("balance", 14, 4), placement.WithPolicy(policy))
	s.externalLoad = source.externalLoad
	var history [][]placement.LoadReport
	report := func() {
		var loads []placement.LoadReport
		for i, h := range s.tables.hosts {
			total := int64(s.total(i))
			if i == 0 && source.misreporting {
				total /= 2
			}
			loads = append(loads, placement.NewLoadReport(h.id(), total))
		}
		history = append(history, loads)
		if index := len(history) - 1 - int(source.age/clock.Second); source.age > 0 && index >= 0 {
			for _, p := range s.owners {
				p.SetReports(s.now, history[index], source.age)
			}
		}
	}
	s.run(3*clock.Minute, newFlowRate, report)
	worst := 0.0
	s.run(clock.Minute, newFlowRate, func() {
		report()
		worst = max(worst, s.imbalance())
	})
	return worst
}

// BenchmarkFlashCrowd reports the effects of a tenfold rate of new flows for 10 s on hosts
// with limits, both for warm hosts and for hosts that have just joined: the largest
// imbalance, the share of refused flows and the largest use of a limit.
func BenchmarkFlashCrowd(b *testing.B) {
	for _, state := range []string{"serving", "joining"} {
		b.Run(state, func(b *testing.B) {
			for range b.N {
				reportFlashCrowd(b, state)
			}
		})
	}
}

func reportFlashCrowd(b *testing.B, state string) {
	const connections = 2000
	t := newTables("balance", 14, 4)
	for i := range t.hosts {
		t.hosts[i].Mark, t.hosts[i].Connections, t.hosts[i].Slots = state, connections, 2
	}
	s := newSimulation(b, t)
	if state == "serving" {
		s.run(2*clock.Minute, newFlowRate/2, nil)
	}
	flows := s.flows
	worst, limitUse := 0.0, 0.0
	s.run(clock.Second, 10*newFlowRate/2, nil)
	s.run(9*clock.Second, 10*newFlowRate/2, func() {
		worst = max(worst, s.imbalance())
		for _, h := range t.hosts {
			limitUse = max(limitUse, float64(s.active(h.id()))/connections)
		}
	})
	b.ReportMetric(worst, "imbalance")
	b.ReportMetric(float64(s.refused)/float64(s.flows-flows), "refused_share")
	b.ReportMetric(limitUse, "limit_use")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLostRecord reports for each policy the share of open flows that the next holder
// would place on the same target if it had no record of them.
func BenchmarkLostRecord(b *testing.B) {
	for _, policy := range []string{"naive", "hash", "two_choices", "least_loaded", "bounded_load"} {
		b.Run(policy, func(b *testing.B) {
			for range b.N {
				s := newSimulation(b, newTables("flows", 14, 4), placement.WithPolicy(policy))
				s.run(2*clock.Minute, newFlowRate, nil)
				s.tables.hosts[0].Mark = "leaving"
				s.setTables()
				b.ReportMetric(s.sameTargetShare(0), "found_again")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
