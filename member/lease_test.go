package member

import (
	"errors"
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
)

var leaseSeeds = flag.Int("lease.seeds", 0, "number of additional random lease scenarios to run")

// TestDaemonsVoteUnderOneListAtATime guards against two groups of daemons that vote under
// different lists at the same time and so may decide two targets for a flow. Rapid chooses
// the faults and the changes of the list.
func TestDaemonsVoteUnderOneListAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(rapidChooser(t), defects{})
		if err := s.runActions(); err != nil {
			for _, line := range s.trace {
				t.Log(line)
			}
			t.Fatal(err)
		}
	})
}

// findViolation runs scenarios until one fails, and returns its seed.
func findViolation(seeds uint64, d defects) (uint64, *scenario, error) {
	for seed := range seeds {
		s := newScenario(randomChooser(seed), d)
		if err := s.runActions(); err != nil {
			return seed, s, err
		}
	}
	return 0, nil, nil
}

// TestMoreLeaseScenarios runs as many seeded scenarios as the flag lease.seeds asks for.
func TestMoreLeaseScenarios(t *testing.T) {
	seed, s, err := findViolation(uint64(*leaseSeeds), defects{})
	if err != nil {
		t.Fatalf("seed %d: %v\n%v", seed, err, s.trace)
	}
}

// TestLeaseDefectsAreDetected guards against scenarios too weak to detect a violation of the
// lease rules, by enabling one defect at a time.
func TestLeaseDefectsAreDetected(t *testing.T) {
	tests := []struct {
		name    string
		defects defects
	}{
		{"lease counted from the arrival of the answer", defects{leaseFromAnswerArrival: true}},
		{"no wait after a change of the list", defects{noLeaseWait: true}},
		{"restarted processes count at once", defects{noRecoveryDelay: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seed, _, err := findViolation(3000, test.defects)
			if err == nil {
				t.Fatal(errors.New("no scenario detected the defect"))
			}
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

// TestSkippedListBlocksSettling partitions a fleet that is about to vote under list 2.
// The minority side moves on to list 3, which has the members of list 1, and one of its
// two daemons never saw list 2. That side must not settle list 3, because it cannot know
// that the other side has a majority of list 2.
func TestSkippedListBlocksSettling(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(1, WithLease(scenarioLease), WithQuarantine(scenarioLease),
			WithProbePeriod(100*clock.Millisecond), withDefects(defects{ignoreSkippedLists: ignored}))
		sim.omitPredecessors = true
		for i := range 3 {
			sim.start(i, newList(1, firstVMs(3)...))
			sim.nodes[i].pullsSucceed = false
		}
		is.NoErr(sim.run(3*clock.Second, sim.checkVotes))
		is.Equal(sim.voters(), 3)
		for i := 3; i < 6; i++ {
			sim.start(i, newList(2, firstVMs(6)...))
		}
		is.NoErr(sim.run(5*clock.Second, sim.checkVotes))
		for _, n := range sim.nodes[1:3] {
			n.machine.SetList(n.now(), newList(2, firstVMs(6)...))
		}
		for !sim.nodes[2].machine.lease.moved {
			is.NoErr(sim.run(step, sim.checkVotes))
		}
		for _, n := range sim.nodes[:2] {
			n.side = 1
			n.machine.SetList(n.now(), newList(3, firstVMs(3)...))
		}
		err := sim.run(8*clock.Second, sim.checkVotes)
		is.Equal(err != nil, ignored) // detected only when skipped lists are ignored
		is.True(ignored || sim.voters() == 4)
	}
}

// TestPermissionNeedsMajorityOfEveryList partitions a fleet whose sides move from list 1
// to list 2 and to list 3. The side on list 3 concludes that no daemon can have voted
// under list 2, since most members of list 1 skipped it. The other side has a majority of
// list 2 but not of list 1, and must not get a permission.
func TestPermissionNeedsMajorityOfEveryList(t *testing.T) {
	for _, newestOnly := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(1, WithLease(scenarioLease), WithQuarantine(scenarioLease),
			WithProbePeriod(100*clock.Millisecond), withDefects(defects{checkNewestListOnly: newestOnly}))
		for i := range 3 {
			sim.start(i, newList(1, firstVMs(3)...))
			sim.nodes[i].pullsSucceed = false
		}
		is.NoErr(sim.run(3*clock.Second, sim.checkVotes))
		for i := 3; i < 6; i++ {
			sim.start(i, newList(2, firstVMs(6)...))
		}
		is.NoErr(sim.run(5*clock.Second, sim.checkVotes))
		sim.nodes[0].side, sim.nodes[2].side = 1, 1
		sim.nodes[1].machine.SetList(sim.nodes[1].now(), newList(2, firstVMs(6)...))
		sim.nodes[0].machine.SetList(sim.nodes[0].now(), newList(3, firstVMs(3)...))
		sim.nodes[2].machine.SetList(sim.nodes[2].now(), newList(3, firstVMs(3)...))
		err := sim.run(8*clock.Second, sim.checkVotes)
		is.Equal(err != nil, newestOnly)
		is.True(newestOnly || sim.voters() == 2)
	}
}

// TestScenariosReachVoting guards against scenarios in which no daemon ever votes, which
// would pass without checking anything.
func TestScenariosReachVoting(t *testing.T) {
	is := is.New(t)
	votes, lists := 0, map[uint64]bool{}
	for seed := range uint64(30) {
		s := newScenario(randomChooser(seed), defects{})
		is.NoErr(s.runActions())
		votes += s.votes
		for _, n := range s.nodes {
			lists[n.machine.lease.settled] = true
		}
	}
	is.True(votes > 0)
	is.True(len(lists) >= listsWithRestarts) // later lists must be voted under, too
}
