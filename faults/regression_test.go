package faults

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
)

// newSmallSimulation returns a simulation with the timing of the fuzz runs, after its warm-up.
func newSmallSimulation(domains []string, perDomain int) *simulation {
	c := marmaraConfig(1)
	c.domains, c.vmsPerDomain, c.bookingHosts, c.photoHosts, c.trace = domains, perDomain, 4, 2, true
	c.timing = timing{opening: fuzzOpening, lease: fuzzLease, probe: fuzzProbe, retransmission: fuzzRetransmission}
	s := newSimulation(c)
	s.advance(fuzzWarmUp)
	s.oracle.startCounting()
	return s
}

// TestPausedVMDropsStaleOpenings guards against a failure found with seed 315: packets of a
// hold waited in a paused VM until the records of the hold had expired, and then opened the
// hold a second time.
func TestPausedVMDropsStaleOpenings(t *testing.T) {
	is := is.New(t)
	s := newSmallSimulation([]string{"kadikoy"}, 3)
	var holds []*client
	for range 20 {
		holds = append(holds, s.startFlow(hold, 2*clock.Second, 200*clock.Millisecond))
	}
	s.advance(300 * clock.Millisecond)
	s.vmNamed("kadikoy-1").pause(20 * clock.Second)
	s.advance(5 * clock.Second)
	s.platform.setHostState("b00", "leaving")
	s.advance(30 * clock.Second)
	is.Equal(s.oracle.violations, nil)
	for _, c := range holds {
		is.Equal(len(c.visited), 1)
	}
}

// TestHoldHasThreeHoldersAfterSecondPacket guards against a failure found with seed 683: the
// second packet of a hold sent another copy to the VM that already had one, instead of to a
// third VM.
func TestHoldHasThreeHoldersAfterSecondPacket(t *testing.T) {
	is := is.New(t)
	s := newSmallSimulation([]string{"kadikoy", "besiktas"}, 2)
	var holds []*client
	for range 20 {
		holds = append(holds, s.startFlow(hold, 10*clock.Second, 1200*clock.Millisecond))
	}
	s.advance(500 * clock.Millisecond)
	for _, c := range holds {
		is.Equal(c.answerCount, 2)
		holders := 0
		for _, v := range s.vms {
			if _, known := v.node.Lookup(v.localTime(), &c.key); known {
				holders++
			}
		}
		is.Equal(holders, fleet.HolderCount)
	}
}

// TestFlowsSurviveManyJoiningVMs guards against a failure found with seed 103314: when all
// holders of a flow had just joined, none of them knew the previous lists, and the flow was
// placed again.
func TestFlowsSurviveManyJoiningVMs(t *testing.T) {
	is := is.New(t)
	s := newSmallSimulation([]string{"kadikoy", "besiktas"}, 2)
	for range 100 {
		s.startFlow(feed, 8*clock.Second, 600*clock.Millisecond)
		s.startFlow(line, 8*clock.Second, 600*clock.Millisecond)
	}
	s.advance(2 * clock.Second)
	for i := range 6 {
		s.platform.add(fmt.Sprintf("new-%d", i), s.config.domains[i%2])
	}
	s.platform.publishList()
	s.advance(30 * clock.Second)
	is.Equal(s.oracle.violations, nil)
	is.Equal(s.oracle.countedFlows, 200)
	is.Equal(s.oracle.brokenFlows, 0)
}

// TestPreviouslyFailingSeeds plays fuzz runs that violated a guarantee before a fix.
func TestPreviouslyFailingSeeds(t *testing.T) {
	tests := []struct {
		name string
		seed uint64
	}{
		{"a pause before the first list ended at once, and stale packets opened a hold again", 5059},
		{"a list under which others still decided was no longer consulted", 7080},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := newFuzzRun(seededChooser(test.seed), core.NoDefect, false, false).play(); err != nil {
				t.Fatalf("%v\n%s", err, replayTrace(seededChooser(test.seed), core.NoDefect))
			}
		})
	}
}

// TestPreviouslyFailingHolderSeeds plays fuzz runs that violated a guarantee before a fix:
//   - 3657: all current holders of a flow were gone, and VMs dropped its packets although an
//     earlier holder knew it.
//   - 2031, 2742: both copies went to the same VM when a VM joined.
//   - 7855: a repair by an earlier owner replaced a record that was in use.
//   - 3306: lost pulls were retried too late.
func TestPreviouslyFailingHolderSeeds(t *testing.T) {
	for _, seed := range []uint64{2031, 2742, 3306, 3657, 7855} {
		if err := newFuzzRun(seededChooser(seed), core.NoDefect, false, false).play(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
