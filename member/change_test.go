package member

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// without returns a list whose given VMs are marked lost.
func without(list *fleet.List, lost ...int) *fleet.List {
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

// rolling returns lists in each of which one VM more is replaced.
func rolling() []*fleet.List {
	var lists []*fleet.List
	for i := range testVMs {
		lists = append(lists, listOf(uint64(2+i), upTo(testVMs + i + 1)[i+1:]...))
	}
	return lists
}

// TestListsSettle has everybody vote under the last list, in spite of the VMs that the
// changes of the list leave behind.
func TestListsSettle(t *testing.T) {
	eight := upTo(testVMs)
	tests := []struct {
		name  string
		crash int // number of VMs that crash before
		lists []*fleet.List
		apart clock.Millis
		want  int
	}{
		{"one VM replaced after the other", 0, rolling(), 6 * clock.Second, testVMs},
		{"replaced faster than lists settle", 0, rolling(), 2 * clock.Second, testVMs},
		{"doubled", 0, []*fleet.List{listOf(2, upTo(2*testVMs)...)}, 0, 2 * testVMs},
		{"halved, then quartered", 0, []*fleet.List{listOf(2, eight[:4]...), listOf(3, eight[:2]...)}, 0, 2},
		{"a version that nobody saw", 0, []*fleet.List{listOf(3, upTo(9)[1:]...)}, 0, testVMs},
		{"five crashed and still listed", 5, []*fleet.List{listOf(2, eight...)}, 0, 0},
		{"five crashed and marked lost", 5, []*fleet.List{without(listOf(2, eight...), 0, 1, 2, 3, 4)}, 0, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := startFleet(1, testVMs)
			is.NoErr(w.run(10*clock.Second, w.oneVote))
			is.Equal(w.voters(), testVMs)
			for _, n := range w.nodes[:test.crash] {
				n.up = false
			}
			for _, list := range test.lists {
				w.publish(list)
				is.NoErr(w.run(test.apart, w.oneVote))
			}
			is.NoErr(w.run(20*clock.Second, w.oneVote))
			is.Equal(w.voters(), test.want)
			for _, n := range w.nodes {
				is.True(n.voting() == 0 || n.voting() == test.lists[len(test.lists)-1].Version())
			}
		})
	}
}

// publish starts the new VMs of a list on it and gives it to one of the old ones.
func (w *world) publish(list *fleet.List) {
	given := false
	for i := range 3 * testVMs {
		id := fleet.NewID(vmName(i))
		if _, listed := list.Find(id); !listed {
			continue
		}
		n := w.byID[id]
		switch {
		case n == nil:
			w.start(i, list)
		case n.up && !given:
			given = true
			n.machine.SetList(n.now(), list)
		}
	}
}
