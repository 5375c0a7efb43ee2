package placement_test

import (
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/placement"
)

// newRate is the number of new flows a second of the stated targets.
const newRate = 1000

// bounds are the stated targets for the imbalance of a pool.
var bounds = []struct {
	prefer string
	most   float64
}{{"balance", 1.05}, {"flows", 1.15}}

// faults are the events that the imbalance must recover from.
var faults = []struct {
	name string
	hit  func(s *simulation)
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
		s.run(3*clock.Second, newRate, nil)
		s.setHealth(s.tables.hosts[0].id())
	}},
	{"owner_crash", func(s *simulation) { s.crashOwner(0) }},
}

// joiningShare lets a minute pass and returns the largest share of new flows that the
// joining host took in any ten seconds of it, relative to a fair share of 15 hosts.
func (s *simulation) joiningShare(each func()) float64 {
	joining := newHost(14, 4)
	share := 0.0
	for range 6 {
		before := s.placed[joining.id()]
		s.run(10*clock.Second, newRate, each)
		share = max(share, float64(s.placed[joining.id()]-before)*15/(10*newRate))
	}
	return share
}

func TestJoiningTargetKeepsToItsShare(t *testing.T) {
	const most = 1.5
	for _, bound := range bounds {
		for _, fault := range faults {
			if fault.name != "joining" {
				continue
			}
			s := newSimulation(t, newTables(bound.prefer, 14, 4))
			s.run(2*clock.Minute, newRate, nil)
			fault.hit(s)
			share := s.joiningShare(nil)
			if share == 0 || share > most {
				t.Errorf("prefer %s: %.3f of a fair share of new flows, want at most %.1f", bound.prefer, share, most)
			}
		}
	}
}

func TestImbalanceStaysWithinItsTargets(t *testing.T) {
	for _, bound := range bounds {
		for _, fault := range faults {
			s := newSimulation(t, newTables(bound.prefer, 14, 4))
			s.run(2*clock.Minute, newRate, nil)
			fault.hit(s)
			s.run(clock.Minute, newRate, nil)
			if worst := s.worst(clock.Minute, newRate); worst > bound.most {
				t.Errorf("prefer %s, %s: imbalance %.3f above %.2f", bound.prefer, fault.name, worst, bound.most)
			}
		}
	}
}

// BenchmarkRecovery reports the imbalance from a minute after each fault on, the seconds
// until it stays under the target, and the largest share of new flows of a joining
// target in 10 s over its fair share.
func BenchmarkRecovery(b *testing.B) {
	for _, bound := range bounds {
		for _, fault := range faults {
			b.Run(bound.prefer+"/"+fault.name, func(b *testing.B) {
				for range b.N {
					reportRecovery(b, bound.prefer, bound.most, fault.hit)
				}
			})
		}
	}
}

func reportRecovery(b *testing.B, prefer string, most float64, hit func(*simulation)) {
	s := newSimulation(b, newTables(prefer, 14, 4))
	s.run(2*clock.Minute, newRate, nil)
	hit(s)
	start := s.now
	settled := start
	share := s.joiningShare(func() {
		if s.imbalance() > most {
			settled = s.now
		}
	})
	b.ReportMetric(s.worst(clock.Minute, newRate), "imbalance")
	b.ReportMetric(float64(settled-start)/float64(clock.Second), "settle_s")
	if share > 0 {
		b.ReportMetric(share, "start_share")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkImbalance compares the policies by the counts that they see. Sources that
// begin with "gossip" add the counts that the other owners reported to the own ones,
// with an age, or with one target that claims half of its load. Sources that begin with
// "damped" are placers, which let the same reports correct their weights; with
// "outside" a target bears a fifth more flows than the owners know of.
func BenchmarkImbalance(b *testing.B) {
	for _, policy := range []string{"naive", "hash", "two_choices", "least_loaded", "bounded_load"} {
		for _, source := range rawSources {
			b.Run(policy+"/"+source.name, func(b *testing.B) {
				for range b.N {
					b.ReportMetric(rawImbalance(policy, source), "imbalance")
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

// placerSource says which reports the placers get.
type placerSource struct {
	name    string
	age     clock.Millis
	lying   bool
	outside float64
}

var placerSources = []placerSource{
	{name: "placer_own"},
	{name: "damped_1s", age: clock.Second},
	{name: "damped_10s", age: 10 * clock.Second},
	{name: "damped_lying", age: clock.Second, lying: true},
	{name: "outside_own", outside: 0.2},
	{name: "outside_damped", outside: 0.2, age: clock.Second},
}

func placerImbalance(b *testing.B, policy string, source placerSource) float64 {
	s := newSimulation(b, newTables("balance", 14, 4), placement.WithPolicy(policy))
	s.outside = source.outside
	var history [][]placement.Load
	report := func() {
		var loads []placement.Load
		for i, h := range s.tables.hosts {
			total := int64(s.total(i))
			if i == 0 && source.lying {
				total /= 2
			}
			loads = append(loads, placement.NewLoad(h.id(), total))
		}
		history = append(history, loads)
		if late := len(history) - 1 - int(source.age/clock.Second); source.age > 0 && late >= 0 {
			for _, p := range s.owners {
				p.SetReports(s.now, history[late], source.age)
			}
		}
	}
	s.run(3*clock.Minute, newRate, report)
	worst := 0.0
	s.run(clock.Minute, newRate, func() {
		report()
		worst = max(worst, s.imbalance())
	})
	return worst
}

// BenchmarkFlashCrowd reports what a tenfold rate of new flows for 10 s does to hosts
// with limits, to a fleet that is warm and to one that has just joined: the worst
// imbalance, the part of the flows refused, and the largest use of a limit.
func BenchmarkFlashCrowd(b *testing.B) {
	for _, mark := range []string{"serving", "joining"} {
		b.Run(mark, func(b *testing.B) {
			for range b.N {
				reportFlashCrowd(b, mark)
			}
		})
	}
}

func reportFlashCrowd(b *testing.B, mark string) {
	const connections = 2000
	t := newTables("balance", 14, 4)
	for i := range t.hosts {
		t.hosts[i].Mark, t.hosts[i].Connections, t.hosts[i].Slots = mark, connections, 2
	}
	s := newSimulation(b, t)
	if mark == "serving" {
		s.run(2*clock.Minute, newRate/2, nil)
	}
	flows := s.flows
	worst, fullest := 0.0, 0.0
	s.run(clock.Second, 10*newRate/2, nil)
	s.run(9*clock.Second, 10*newRate/2, func() {
		worst = max(worst, s.imbalance())
		for _, h := range t.hosts {
			fullest = max(fullest, float64(s.active(h.id()))/connections)
		}
	})
	b.ReportMetric(worst, "imbalance")
	b.ReportMetric(float64(s.refused)/float64(s.flows-flows), "refused_share")
	b.ReportMetric(fullest, "limit_use")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLostRecord reports for each policy the share of open flows that the next
// holder would place on the same target again, had it no record of them.
func BenchmarkLostRecord(b *testing.B) {
	for _, policy := range []string{"naive", "hash", "two_choices", "least_loaded", "bounded_load"} {
		b.Run(policy, func(b *testing.B) {
			for range b.N {
				s := newSimulation(b, newTables("flows", 14, 4), placement.WithPolicy(policy))
				s.run(2*clock.Minute, newRate, nil)
				s.tables.hosts[0].Mark = "leaving"
				s.setTables()
				b.ReportMetric(s.foundAgain(0), "found_again")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
