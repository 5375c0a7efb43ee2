package member

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

const testVMs = 8

func startFleet(seed uint64, n int) *simulation {
	sim := newSimulation(seed)
	sim.delay = 5 * clock.Millisecond
	sim.lists = append(sim.lists, newList(1, firstVMs(n)...))
	for i := range n {
		sim.start(i, sim.lists[0])
	}
	return sim
}

func TestFleetVotesAfterColdStart(t *testing.T) {
	is := is.New(t)
	sim := startFleet(1, testVMs)
	is.NoErr(sim.run(5*clock.Second, sim.checkVotes))
	is.Equal(sim.voters(), 0) // daemons do not vote in quarantine
	is.True(sim.nodes[0].machine.View().Quarantined(sim.nodes[0].id))
	is.True(sim.nodes[0].machine.View().Quarantined(sim.nodes[1].id))
	is.NoErr(sim.run(5*clock.Second, sim.checkVotes))
	is.Equal(sim.voters(), testVMs)
	is.True(!sim.nodes[0].machine.View().Quarantined(sim.nodes[0].id))
	is.True(!sim.nodes[0].machine.View().Quarantined(sim.nodes[1].id))
}

func TestCrashAndRestartAreDetected(t *testing.T) {
	is := is.New(t)
	sim := startFleet(2, testVMs)
	is.NoErr(sim.run(10*clock.Second, sim.checkVotes))
	crashed := sim.nodes[3]
	crashed.up = false
	is.NoErr(sim.run(6*clock.Second, sim.checkVotes))
	for _, n := range sim.nodes {
		if n != crashed {
			is.True(!n.machine.View().Alive(crashed.id))
			is.Equal(n.machine.View().Status(crashed.id), Unreachable)
		}
	}
	is.Equal(sim.voters(), testVMs-1)
	sim.start(3, sim.lists[0])
	is.NoErr(sim.run(3*clock.Second, sim.checkVotes))
	sim.start(3, sim.lists[0])
	is.NoErr(sim.run(4*clock.Second, sim.checkVotes)) // seven seconds after the first restart
	is.True(sim.nodes[0].machine.View().Quarantined(crashed.id))
	for _, n := range sim.nodes {
		is.True(n.machine.View().Alive(crashed.id))
	}
	is.Equal(crashed.votingList(), uint64(0)) // the restarted process does not know what it accepted before
	is.NoErr(sim.run(8*clock.Second, sim.checkVotes))
	is.Equal(crashed.votingList(), uint64(1))
}

// TestMessageLossAloneMakesNoMemberUnreachable guards against members that are marked
// unreachable although only a tenth of all messages is lost.
func TestMessageLossAloneMakesNoMemberUnreachable(t *testing.T) {
	is := is.New(t)
	sim := startFleet(3, testVMs)
	sim.lossPercent = 10
	is.NoErr(sim.run(60*clock.Second, func() error {
		for _, n := range sim.nodes {
			for _, other := range sim.nodes {
				is.True(n.machine.View().Status(other.id) < Unreachable)
			}
		}
		return nil
	}))
}

func TestLeftMemberIsNotAlive(t *testing.T) {
	is := is.New(t)
	sim := startFleet(4, testVMs)
	is.NoErr(sim.run(2*clock.Second, nil))
	sim.nodes[5].machine.Leave(sim.nodes[5].now())
	is.NoErr(sim.run(2*clock.Second, nil))
	for _, n := range sim.nodes[:5] {
		is.Equal(n.machine.View().Status(sim.nodes[5].id), Left)
		is.True(!n.machine.View().Alive(sim.nodes[5].id))
	}
}

func TestOnlyMajorityOfPartitionVotes(t *testing.T) {
	is := is.New(t)
	sim := startFleet(5, testVMs)
	is.NoErr(sim.run(10*clock.Second, sim.checkVotes))
	for _, n := range sim.nodes[:3] {
		n.side = 1
	}
	is.NoErr(sim.run(8*clock.Second, sim.checkVotes))
	is.Equal(sim.voters(), 5)
	view := sim.nodes[0].machine.View()
	is.True(view.Alive(sim.nodes[1].id))
	is.True(!view.Alive(sim.nodes[4].id))
	for _, n := range sim.nodes {
		n.side = 0
	}
	is.NoErr(sim.run(8*clock.Second, sim.checkVotes))
	is.Equal(sim.voters(), testVMs)
	for _, n := range sim.nodes {
		is.True(sim.nodes[0].machine.View().Alive(n.id))
	}
}

// TestPauseLastsUntilPeersAnswer guards against a process that votes after a pause on the
// basis of answers from before it.
func TestPauseLastsUntilPeersAnswer(t *testing.T) {
	is := is.New(t)
	sim := startFleet(6, testVMs)
	is.NoErr(sim.run(10*clock.Second, sim.checkVotes))
	n := sim.nodes[0]
	n.paused = true
	is.NoErr(sim.run(10*clock.Second, sim.checkVotes))
	is.Equal(n.machine.VotingLease(n.now()), VotingLease{})
	n.machine.SetVersions(n.now(), nil)
	is.True(n.machine.Paused())
	n.paused = false
	is.NoErr(sim.run(8*clock.Second, sim.checkVotes))
	is.True(!n.machine.Paused())
	is.Equal(n.votingList(), uint64(1))
}

func TestListsAndVersionsSpreadFromOneDaemon(t *testing.T) {
	is := is.New(t)
	sim := startFleet(7, testVMs)
	is.NoErr(sim.run(2*clock.Second, nil))
	n := sim.nodes[2]
	n.machine.SetList(n.now(), newList(4, firstVMs(testVMs+1)...))
	n.machine.SetVersions(n.now(), []Version{{Name: "tables", Number: 9}})
	n.machine.SetVersions(n.now(), []Version{{Name: "tables", Number: 8}})
	is.NoErr(sim.run(3*clock.Second, nil))
	for _, other := range sim.nodes {
		is.Equal(other.machine.listVersion(), uint64(4))
		is.Equal(other.machine.versions.number("tables"), uint64(9)) // lower versions are ignored
	}
}

// TestProbeFromUnlistedVMIsAnsweredButNotCounted guards against merging the state that a VM
// outside the list sends.
func TestProbeFromUnlistedVMIsAnsweredButNotCounted(t *testing.T) {
	is := is.New(t)
	sim := startFleet(8, 3)
	unlisted := fleet.NewID("stranger")
	n := sim.nodes[0]
	message := &Message{Kind: Probe, Sequence: 7, ListVersion: 9, Established: true, SettledVersion: 9}
	message.Updates = []Update{{ID: sim.nodes[1].id, Status: Unreachable, Incarnation: 99}}
	n.machine.Receive(n.now(), unlisted, message)
	is.Equal(n.lastSent.to, unlisted)
	is.Equal(n.lastSent.message.Kind, Answer)
	is.True(n.machine.View().Alive(sim.nodes[1].id))
	is.True(!n.machine.View().Alive(unlisted))
	is.Equal(n.machine.lease.settled, uint64(0))
}

func TestRateLimiterReservesBytesForHigherClasses(t *testing.T) {
	is := is.New(t)
	l := NewRateLimiter(0, 1000)
	is.True(l.Allow(0, ClassRepair, 1000)) // half of the bucket, which holds two seconds of traffic
	is.True(!l.Allow(0, ClassRepair, 1))
	is.True(l.Allow(0, ClassTargetReports, 400))
	is.True(!l.Allow(0, ClassTargetReports, 1))
	is.True(l.Allow(0, ClassSuspicion, 400))
	is.True(!l.Allow(0, ClassSuspicion, 1))
	is.True(l.Allow(0, ClassVersions, 200))
	is.True(!l.Allow(0, ClassVersions, 1))
	l.Charge(0, ClassVersions, 100)
	is.True(!l.Allow(100, ClassVersions, 1)) // Charge made the balance negative
	is.True(l.Allow(101, ClassVersions, 1))
	is.Equal(l.Spent(ClassVersions), uint64(301))
	l.Reconcile(101, 2111)
	is.Equal(l.Framing(), uint64(10))
	l.Reconcile(101, 2111)
	is.Equal(l.Framing(), uint64(10)) // the same bytes are charged only once
}
