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

// answering is a Sink that answers each probe in the place of healthy members.
type answering struct {
	answers []envelope
	list    uint64
	bytes   int
}

func (a *answering) Send(to fleet.ID, m *Message) {
	a.bytes += m.Size()
	if m.Kind == Probe {
		answer := &Message{
			Kind: Answer, Sequence: m.Sequence, Incarnation: 1, Run: 1, Age: clock.Hour,
			List: a.list, Settled: a.list, Established: true, Versions: m.Versions,
		}
		a.answers = append(a.answers, envelope{from: to, message: answer})
	}
}

func (a *answering) Event(Event) {}

// BenchmarkTick reports what one daemon of a healthy fleet costs: processor time for a
// second of ticks, probes, answers given and answers taken, bytes sent a second, and
// state beyond the list itself.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			list := listOf(1, upTo(size)...)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			sink := &answering{list: 1}
			random := rand.New(rand.NewPCG(1, 1))
			m := New(fleet.NewID(vmName(0)), 1, 0, random, sink)
			m.SetList(0, list)
			m.SetVersions(0, []Version{{Name: "tables", Number: 1, Confirmed: true}})
			now := clock.Millis(0)
			second := func() {
				for range 10 {
					now += 100
					m.Tick(now)
					m.View()
					m.Voting(now)
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
				second()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			sink.bytes = 0
			start := now
			for b.Loop() {
				second()
			}
			seconds := float64(now-start) / float64(clock.Second)
			b.ReportMetric(float64(sink.bytes)/seconds, "estimated_B/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state_B")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkSetList reports the time that a list with one VM more takes.
func BenchmarkSetList(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := New(fleet.NewID(vmName(0)), 1, 0, rand.New(rand.NewPCG(1, 1)), &answering{})
			vms := listOf(1, upTo(size)...).VMs()
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

// healthy starts a fleet that has been running for a while.
func healthy(seed uint64, size int) *world {
	w := startFleet(seed, size)
	for _, n := range w.nodes {
		n.machine.budget = NewBudget(n.now(), DefaultBudgetRate)
	}
	_ = w.run(15*clock.Second, nil)
	return w
}

// BenchmarkDetection reports the probe periods until the first and the last daemon knows
// that a crashed one is unreachable.
func BenchmarkDetection(b *testing.B) {
	for _, size := range []int{8, 32, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var first, last float64
			seed := uint64(0)
			for b.Loop() {
				seed++
				w := healthy(seed, size)
				w.nodes[0].up = false
				crashed := w.now
				for seen := 0; seen < size-1; {
					_ = w.run(step, nil)
					before := seen
					seen = 0
					for _, n := range w.nodes[1:] {
						if n.machine.peers[w.nodes[0].id].status == Unreachable {
							seen++
						}
					}
					if before == 0 && seen > 0 {
						first += float64(w.now-crashed) / float64(DefaultProbePeriod)
					}
				}
				last += float64(w.now-crashed) / float64(DefaultProbePeriod)
			}
			b.ReportMetric(first/float64(b.N), "periods_first")
			b.ReportMetric(last/float64(b.N), "periods_last")
		})
	}
}

// BenchmarkConvergence reports how long a version takes from one daemon to all others,
// pulls included, and the bytes that a daemon sends a second meanwhile.
func BenchmarkConvergence(b *testing.B) {
	for _, size := range []int{8, 32, 100, 300, 1_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var periods, rate float64
			seed := uint64(0)
			for b.Loop() {
				seed++
				w := healthy(seed, size)
				start, bytes := w.now, -w.bytes()
				w.nodes[0].machine.SetVersions(w.nodes[0].now(), []Version{{Name: "tables", Number: 2}})
				for w.behind() {
					_ = w.run(step, nil)
				}
				bytes += w.bytes()
				periods += float64(w.now-start) / float64(DefaultProbePeriod)
				rate += float64(bytes) / float64(size) / (float64(w.now-start) / float64(clock.Second))
			}
			b.ReportMetric(periods/float64(b.N), "periods")
			b.ReportMetric(periods/float64(b.N)*float64(DefaultProbePeriod), "ms")
			b.ReportMetric(rate/float64(b.N), "estimated_B/s")
		})
	}
}

func (w *world) behind() bool {
	for _, n := range w.nodes {
		if n.machine.versions.number("tables") < 2 {
			return true
		}
	}
	return false
}

func (w *world) bytes() int {
	sum := 0
	for _, n := range w.nodes {
		sum += n.bytes
	}
	return sum
}

// BenchmarkReplacement replaces 8 VMs one after the other, every 10 s, and reports which
// part of the time a daemon that is established may not vote, and may not even decide on
// flows whose holders stay the same.
func BenchmarkReplacement(b *testing.B) {
	var time, noVoting, noPermission float64
	seed := uint64(0)
	for b.Loop() {
		seed++
		w := healthy(seed, testVMs)
		for _, list := range rolling() {
			w.publish(list)
			_ = w.run(10*clock.Second, func() error {
				for _, n := range w.nodes {
					if _, listed := list.Find(n.id); !listed || !n.machine.lease.established {
						continue
					}
					time++
					if n.voting() == 0 {
						noVoting++
					}
					if n.permitted().List == 0 {
						noPermission++
					}
				}
				return nil
			})
		}
	}
	b.ReportMetric(noVoting/time*1e6, "no_voting_ppm")
	b.ReportMetric(noPermission/time*1e6, "no_permission_ppm")
}
