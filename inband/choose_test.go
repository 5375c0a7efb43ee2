package inband_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// largePool returns a number of targets whose domains are the letters of a string in turn.
func largePool(count int, domains string) []*inband.Target {
	var targets []*inband.Target
	for i := range count {
		targets = append(targets, target(fmt.Sprintf("i-%04x", i), string(domains[i%len(domains)])))
	}
	return targets
}

// numberedOpening returns the opening of the flow with the given number.
func numberedOpening(flow int) *inband.Packet {
	p := opening(1, feedAddress, 0)
	address := netip.AddrFrom4([4]byte{100, 64, byte(flow >> 16), byte(flow >> 8)})
	p.Key.Client = netip.AddrPortFrom(address, uint16(1000+flow&0xff))
	return p
}

func newLargeEngine(targets []*inband.Target, flows int) *inband.Engine {
	e := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: flows, FlowLifetime: clock.Minute, Seed: 1})
	e.ReplaceView(tables(1), published(targets...))
	return e
}

// Sampled candidates must balance flows as well as a full scan, within the users' imbalance
// limit of 1.05. At the design size a pool has thousands of targets.
func TestSampledCandidatesBalanceFlows(t *testing.T) {
	is := is.New(t)
	const targets, flowsPerTarget = 3000, 40
	e := newLargeEngine(largePool(targets, "a"), targets*flowsPerTarget)
	for flow := range targets * flowsPerTarget {
		is.Equal(e.Handle(0, numberedOpening(flow)).Reason, inband.Placed)
	}
	maxFlows := 0
	for _, h := range e.Targets() {
		maxFlows = max(maxFlows, h.Flows)
	}
	is.True(float64(maxFlows) <= 1.05*flowsPerTarget)
}

func TestSampledCandidatesPreferTheOwnDomain(t *testing.T) {
	is := is.New(t)
	e := newLargeEngine(largePool(3000, "bcad"), 1000)
	for flow := range 1000 {
		is.Equal(e.Handle(0, numberedOpening(flow)).Backend.Target().Domain, "a")
	}
}

// If all sampled targets are suspected, the rest of the pool must be considered.
func TestAllCandidatesAreScannedWhenSampledOnesAreSuspect(t *testing.T) {
	is := is.New(t)
	targets := largePool(1000, "a")
	e := newLargeEngine(targets, 100)
	var suspicions []inband.Suspicion
	for _, target := range targets[:999] {
		suspicions = append(suspicions, inband.Suspicion{ID: target.ID, OpeningTimeouts: 1})
	}
	e.ReceiveSuspicions(0, sibling, "a", suspicions)
	for flow := range 20 {
		is.Equal(e.Handle(1, numberedOpening(flow)).Backend.Target().ID, targets[999].ID)
	}
}

// BenchmarkChoose measures openings in pools that are scanned fully and in pools that are
// sampled. The ratio is the extra cost of a larger pool.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{18, 150, 3000, 30000} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			e := newLargeEngine(largePool(count, "abcd"), 1000)
			flow := 0
			b.ReportAllocs()
			for b.Loop() {
				flow++
				e.Handle(clock.Millis(flow), numberedOpening(flow))
				e.Sweep(clock.Millis(flow))
			}
		})
	}
}
