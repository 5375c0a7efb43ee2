package member

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// markLost returns a copy of a list with some VMs marked lost.
func markLost(list *fleet.List, lost ...int) *fleet.List {
	vms := append([]fleet.VM(nil), list.VMs()...)
	for i := range vms {
		for _, l := range lost {
			if v := &vms[i]; v.Name() == vmName(l) {
				vms[i] = fleet.NewVM(v.Name(), v.Domain(), v.DataAddress(), v.PeerAddress(), fleet.Lost)
			}
		}
	}
	return fleet.NewList(list.Version(), vms)
}

// rollingReplacement returns lists that each replace one more VM.
func rollingReplacement() []*fleet.List {
	var lists []*fleet.List
	for i := range testVMs {
		lists = append(lists, newList(uint64(2+i), firstVMs(testVMs + i + 1)[i+1:]...))
	}
	return lists
}

// TestDaemonsVoteUnderLatestList guards against VMs that were removed by a change of the
// list, or that crashed, keeping the remaining daemons from settling the latest list.
func TestDaemonsVoteUnderLatestList(t *testing.T) {
	eight := firstVMs(testVMs)
	tests := []struct {
		name     string
		crash    int // number of VMs that crash before the first change
		lists    []*fleet.List
		interval clock.Millis
		want     int
	}{
		{"VMs replaced one by one", 0, rollingReplacement(), 6 * clock.Second, testVMs},
		{"replaced faster than lists settle", 0, rollingReplacement(), 2 * clock.Second, testVMs},
		{"doubled", 0, []*fleet.List{newList(2, firstVMs(2*testVMs)...)}, 0, 2 * testVMs},
		{"halved, then quartered", 0, []*fleet.List{newList(2, eight[:4]...), newList(3, eight[:2]...)}, 0, 2},
		{"a version that no daemon saw", 0, []*fleet.List{newList(3, firstVMs(9)[1:]...)}, 0, testVMs},
		{"five crashed and still listed", 5, []*fleet.List{newList(2, eight...)}, 0, 0},
		{"five crashed and marked lost", 5, []*fleet.List{markLost(newList(2, eight...), 0, 1, 2, 3, 4)}, 0, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := startFleet(1, testVMs)
			is.NoErr(sim.run(10*clock.Second, sim.checkVotes))
			is.Equal(sim.voters(), testVMs)
			for _, n := range sim.nodes[:test.crash] {
				n.up = false
			}
			for _, list := range test.lists {
				sim.publish(list)
				is.NoErr(sim.run(test.interval, sim.checkVotes))
			}
			is.NoErr(sim.run(20*clock.Second, sim.checkVotes))
			is.Equal(sim.voters(), test.want)
			for _, n := range sim.nodes {
				is.True(n.votingList() == 0 || n.votingList() == test.lists[len(test.lists)-1].Version())
			}
		})
	}
}

// publish starts the new VMs of a list with it and delivers it to one of the running ones.
func (s *simulation) publish(list *fleet.List) {
	delivered := false
	for i := range 3 * testVMs {
		id := fleet.NewID(vmName(i))
		if _, listed := list.Find(id); !listed {
			continue
		}
		n := s.byID[id]
		switch {
		case n == nil:
			s.start(i, list)
		case n.up && !delivered:
			delivered = true
			n.machine.SetList(n.now(), list)
		}
	}
}
