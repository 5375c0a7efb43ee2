package member

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

var benchSizes = []int{8, 100, 1_000, 4_000, 16_000}

// answeringSink is a Sink that answers each probe on behalf of healthy members.
type answeringSink struct {
	answers []envelope
	list    uint64
	bytes   int
}

func (a *answeringSink) Send(to fleet.ID, m *Message) {
	a.bytes += m.Size()
	if m.Kind == Probe {
		answer := &Message{
			Kind: Answer, Sequence: m.Sequence, Incarnation: 1, StartIncarnation: 1, ProcessAge: clock.Hour,
			ListVersion: a.list, SettledVersion: a.list, Established: true, Versions: m.Versions,
		}
		a.answers = append(a.answers, envelope{from: to, message: answer})
	}
}

func (a *answeringSink) Event(Event) {}

// BenchmarkTick reports the cost of one daemon in a healthy fleet: processor time per
// second of ticks, probes and answers sent and received, bytes sent per second, and
// memory in addition to the list.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			list := newList(1, firstVMs(size)...)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			sink := &answeringSink{list: 1}
			random := rand.New(rand.NewPCG(1, 1))
			m := New(fleet.NewID(vmName(0)), 1, 0, random, sink)
			m.SetList(0, list)
			m.SetVersions(0, []Version{{Name: "tables", Number: 1, Confirmed: true}})
			now := clock.Millis(0)
			runSecond := func() {
				for range 10 {
					now += 100
					m.Tick(now)
					m.View()
					m.VotingLease(now)
					for _, e := range sink.answers {
						m.Receive(now, e.from, e.message)
						probe := *e.message
						probe.Kind = Probe
						m.Receive(now, e.from, &probe)
					}
					sink.answers = sink.answers[:0]
				}
			}
			for range 120 {
				runSecond()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			sink.bytes = 0
			start := now
			for b.Loop() {
				runSecond()
			}
			seconds := float64(now-start) / float64(clock.Second)
			b.ReportMetric(float64(sink.bytes)/seconds, "estimated_B/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state_B")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkSetList reports the time for processing a list with one more VM.
func BenchmarkSetList(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := New(fleet.NewID(vmName(0)), 1, 0, rand.New(rand.NewPCG(1, 1)), &answeringSink{})
			vms := newList(1, firstVMs(size)...).VMs()
			version := uint64(0)
			for b.Loop() {
				b.StopTimer()
				version++
				list := fleet.NewList(version, vms)
				b.StartTimer()
				m.SetList(0, list)
			}
		})
	}
}

// startHealthyFleet returns a fleet that has been running for 15 seconds.
func startHealthyFleet(seed uint64, size int) *simulation {
	sim := startFleet(seed, size)
	for _, n := range sim.nodes {
		n.machine.rateLimiter = NewRateLimiter(n.now(), DefaultControlRate)
	}
	_ = sim.run(15*clock.Second, nil)
	return sim
}

// BenchmarkDetection reports the number of probe periods until the first and the last
// daemon mark a crashed daemon unreachable.
func BenchmarkDetection(b *testing.B) {
	for _, size := range []int{8, 32, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var first, last float64
			seed := uint64(0)
			for b.Loop() {
				seed++
				sim := startHealthyFleet(seed, size)
				sim.nodes[0].up = false
				crashed := sim.now
				for seen := 0; seen < size-1; {
					_ = sim.run(step, nil)
					before := seen
					seen = 0
					for _, n := range sim.nodes[1:] {
						if n.machine.peers[sim.nodes[0].id].status == Unreachable {
							seen++
						}
					}
					if before == 0 && seen > 0 {
						first += float64(sim.now-crashed) / float64(DefaultProbePeriod)
					}
				}
				last += float64(sim.now-crashed) / float64(DefaultProbePeriod)
			}
			b.ReportMetric(first/float64(b.N), "periods_first")
			b.ReportMetric(last/float64(b.N), "periods_last")
		})
	}
}

// BenchmarkConvergence reports how long a version takes to spread from one daemon to all
// others, including pulls, and the bytes that a daemon sends per second meanwhile.
func BenchmarkConvergence(b *testing.B) {
	for _, size := range []int{8, 32, 100, 300, 1_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var periods, rate float64
			seed := uint64(0)
			for b.Loop() {
				seed++
				sim := startHealthyFleet(seed, size)
				start, bytes := sim.now, -sim.bytes()
				sim.nodes[0].machine.SetVersions(sim.nodes[0].now(), []Version{{Name: "tables", Number: 2}})
				for sim.anyBehind() {
					_ = sim.run(step, nil)
				}
				bytes += sim.bytes()
				periods += float64(sim.now-start) / float64(DefaultProbePeriod)
				rate += float64(bytes) / float64(size) / (float64(sim.now-start) / float64(clock.Second))
			}
			b.ReportMetric(periods/float64(b.N), "periods")
			b.ReportMetric(periods/float64(b.N)*float64(DefaultProbePeriod), "ms")
			b.ReportMetric(rate/float64(b.N), "estimated_B/s")
		})
	}
}

func (s *simulation) anyBehind() bool {
	for _, n := range s.nodes {
		if n.machine.versions.number("tables") < 2 {
			return true
		}
	}
	return false
}

func (s *simulation) bytes() int {
	sum := 0
	for _, n := range s.nodes {
		sum += n.bytes
	}
	return sum
}

// BenchmarkReplacement replaces 8 VMs one by one, every 10 s. It reports the share of
// time in which an established daemon has no voting lease, and in which it has no
// permission for flows whose holders do not change either.
func BenchmarkReplacement(b *testing.B) {
	var samples, noVoting, noPermission float64
	seed := uint64(0)
	for b.Loop() {
		seed++
		sim := startHealthyFleet(seed, testVMs)
		for _, list := range rollingReplacement() {
			sim.publish(list)
			_ = sim.run(10*clock.Second, func() error {
				for _, n := range sim.nodes {
					if _, listed := list.Find(n.id); !listed || !n.machine.lease.established {
						continue
					}
					samples++
					if n.votingList() == 0 {
						noVoting++
					}
					if n.currentPermission().ListVersion == 0 {
						noPermission++
					}
				}
				return nil
			})
		}
	}
	b.ReportMetric(noVoting/samples*1e6, "no_voting_ppm")
	b.ReportMetric(noPermission/samples*1e6, "no_permission_ppm")
}
