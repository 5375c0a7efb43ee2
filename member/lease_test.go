package member

import (
	"errors"
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
)

var leaseSeeds = flag.Int("lease.seeds", 0, "run this many more random lease scenarios")

func TestNoTwoListsAreVotedUnder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(rapidChooser(t), faults{})
		if err := s.play(); err != nil {
			for _, line := range s.trace {
				t.Log(line)
			}
			t.Fatal(err)
		}
	})
}

// breach plays scenarios until one fails and returns its seed.
func breach(seeds uint64, f faults) (uint64, *scenario, error) {
	for seed := range seeds {
		s := newScenario(randomChooser(seed), f)
		if err := s.play(); err != nil {
			return seed, s, err
		}
	}
	return 0, nil, nil
}

func TestMoreLeaseScenarios(t *testing.T) {
	seed, s, err := breach(uint64(*leaseSeeds), faults{})
	if err != nil {
		t.Fatalf("seed %d: %v\n%v", seed, err, s.trace)
	}
}

func TestDefectsOfTheLeaseAreNoticed(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
	}{
		{"lease counted from the arrival of the answer", faults{leaseFromArrival: true}},
		{"no wait after a change of the list", faults{noChangeWait: true}},
		{"restarted processes count at once", faults{noRecovery: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seed, _, err := breach(3000, test.faults)
			if err == nil {
				t.Fatal(errors.New("not noticed"))
			}
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

// TestSkippedListIsNotForgotten splits a fleet that is about to vote under list 2. One
// side goes on to list 3, which only members of list 1 are on, and one of them never saw
// list 2: it cannot know that the other side is a majority of it.
func TestSkippedListIsNotForgotten(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		is := is.New(t)
		w := newWorld(1, WithLease(scenarioLease), WithQuarantine(scenarioLease),
			WithProbePeriod(100*clock.Millisecond), withFaults(faults{ignoreSkipped: ignored}))
		w.reticent = true
		for i := range 3 {
			w.start(i, listOf(1, upTo(3)...))
			w.nodes[i].pulls = false
		}
		is.NoErr(w.run(3*clock.Second, w.oneVote))
		is.Equal(w.voters(), 3)
		for i := 3; i < 6; i++ {
			w.start(i, listOf(2, upTo(6)...))
		}
		is.NoErr(w.run(5*clock.Second, w.oneVote))
		for _, n := range w.nodes[1:3] {
			n.machine.SetList(n.now(), listOf(2, upTo(6)...))
		}
		for !w.nodes[2].machine.lease.moved {
			is.NoErr(w.run(step, w.oneVote))
		}
		for _, n := range w.nodes[:2] {
			n.side = 1
			n.machine.SetList(n.now(), listOf(3, upTo(3)...))
		}
		err := w.run(8*clock.Second, w.oneVote)
		is.Equal(err != nil, ignored) // noticed only when skipped lists are ignored
		is.True(ignored || w.voters() == 4)
	}
}

// TestSkippedListIsNotActedOn splits a fleet of which one side goes from list 1 to list 2
// and the other to list 3. The other side finds that list 2 was never voted under, since
// most members of list 1 skipped it, while the one side is a majority of list 2.
func TestSkippedListIsNotActedOn(t *testing.T) {
	for _, newestOnly := range []bool{false, true} {
		is := is.New(t)
		w := newWorld(1, WithLease(scenarioLease), WithQuarantine(scenarioLease),
			WithProbePeriod(100*clock.Millisecond), withFaults(faults{newestListOnly: newestOnly}))
		for i := range 3 {
			w.start(i, listOf(1, upTo(3)...))
			w.nodes[i].pulls = false
		}
		is.NoErr(w.run(3*clock.Second, w.oneVote))
		for i := 3; i < 6; i++ {
			w.start(i, listOf(2, upTo(6)...))
		}
		is.NoErr(w.run(5*clock.Second, w.oneVote))
		w.nodes[0].side, w.nodes[2].side = 1, 1
		w.nodes[1].machine.SetList(w.nodes[1].now(), listOf(2, upTo(6)...))
		w.nodes[0].machine.SetList(w.nodes[0].now(), listOf(3, upTo(3)...))
		w.nodes[2].machine.SetList(w.nodes[2].now(), listOf(3, upTo(3)...))
		err := w.run(8*clock.Second, w.oneVote)
		is.Equal(err != nil, newestOnly)
		is.True(newestOnly || w.voters() == 2)
	}
}

func TestScenariosVote(t *testing.T) {
	is := is.New(t)
	votes, lists := 0, map[uint64]bool{}
	for seed := range uint64(30) {
		s := newScenario(randomChooser(seed), faults{})
		is.NoErr(s.play())
		votes += s.votes
		for _, n := range s.nodes {
			lists[n.machine.lease.settled] = true
		}
	}
	is.True(votes > 0)
	is.True(len(lists) >= listsWithRestarts) // later lists are voted under, too
}
