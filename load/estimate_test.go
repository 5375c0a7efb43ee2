package load_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/load"
)

func TestEstimateOfOneTarget(t *testing.T) {
	const targets = 10
	own := load.Work{Busy: 1, Finished: 20, Flows: 3}
	tests := []struct {
		name     string
		sample   load.Sample
		heard    load.Work // at this target
		all      load.Work // at all targets of the pool
		expected load.Work
	}{
		{"no other VM", load.Sample{}, load.Work{}, load.Work{}, own},
		{"nothing heard", load.Sample{Others: 3}, load.Work{}, load.Work{}, own.Scale(4)},
		{
			"all heard", load.Sample{Others: 3, Weight: 3}, load.Work{Busy: 5, Finished: 60, Flows: 9}, load.Work{Busy: 20, Finished: 300},
			load.Work{Busy: 6, Finished: 80, Flows: 12},
		},
		{"all heard, no work here", load.Sample{Others: 3, Weight: 3}, load.Work{}, load.Work{Busy: 20, Finished: 300}, own},
		{
			"more heard than are alive", load.Sample{Others: 2, Weight: 4}, load.Work{Busy: 4}, load.Work{Busy: 4},
			load.Work{Busy: 3, Finished: 20, Flows: 3},
		},
		{
			"half heard, too little to tell targets apart", load.Sample{Others: 9, Weight: 4}, load.Work{Busy: 0.002}, load.Work{Busy: 0.01},
			load.Work{Busy: 2.003, Finished: 40, Flows: 6},
		},
		{
			"half heard, enough to tell targets apart", load.Sample{Others: 9, Weight: 4},
			load.Work{Busy: 8, Finished: 8e4}, load.Work{Busy: 8, Finished: 8e4},
			load.Work{Busy: 18, Finished: 160040, Flows: 6},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			estimate := tt.sample.ByTarget(tt.all, targets)
			work := estimate.At(own, tt.heard)
			const tolerance = 0.001
			is.True(math.Abs(work.Busy-tt.expected.Busy) <= tolerance*tt.expected.Busy)
			is.True(math.Abs(work.Finished-tt.expected.Finished) <= tolerance*tt.expected.Finished)
			is.True(math.Abs(work.Flows-tt.expected.Flows) <= tolerance*tt.expected.Flows)
		})
	}
}

func TestEstimatesAddUpToTheSumOfThePool(t *testing.T) {
	is := is.New(t)
	heard := []load.Work{{Busy: 4, Finished: 30}, {Busy: 1, Finished: 9}, {}, {Busy: 2}}
	own := []load.Work{{Busy: 1}, {}, {Flows: 2}, {Finished: 3}}
	var allHeard, allOwn load.Work
	for i := range heard {
		allHeard, allOwn = allHeard.Add(heard[i]), allOwn.Add(own[i])
	}
	estimate := load.Sample{Others: 12, Weight: 5.5}.ByTarget(allHeard, len(heard))
	var sum load.Work
	for i := range heard {
		sum = sum.Add(estimate.At(own[i], heard[i]))
	}
	expected := estimate.Sum(allOwn, allHeard, len(heard))
	is.True(math.Abs(sum.Busy-expected.Busy) < 1e-9)
	is.True(math.Abs(sum.Busy-allOwn.Add(allHeard).Scale(13/6.5).Busy) < 1e-9) // 13 VMs, 6.5 of them known
}

func TestSumsAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	estimate := load.Sample{Others: 3, Weight: 3}.BySum(load.Work{Busy: 8}, 4)
	is.Equal(estimate.At(load.Work{Busy: 1}, load.Work{}), load.Work{Busy: 3})
	is.Equal(estimate.Sum(load.Work{Busy: 1}, load.Work{Busy: 8}, 4), load.Work{Busy: 9})
	estimate.AddEven(load.Work{Busy: 0.5})
	is.Equal(estimate.At(load.Work{}, load.Work{}), load.Work{Busy: 2.5})
}

// Load: one kind presses. What this VM has under way now tells sooner than averages do, if it has enough.
func TestPresentWork(t *testing.T) {
	sample := load.Sample{Others: 9}
	tests := []struct {
		name     string
		average  load.Work
		busy     float64
		told     float64
		min, max float64
	}{
		{"no work", load.Work{}, 0, 0, 0, 0},
		{"a load begins", load.Work{Busy: 1, Finished: 15}, 7, 12, 60, 70},
		{"a load ends", load.Work{Busy: 7, Finished: 40}, 1, 70, 10, 13},
		{"nothing of its own", load.Work{}, 0, 70, 70, 70},
		{"too little to tell", load.Work{Busy: 0.01, Finished: 0.2}, 0, 70, 60, 70},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			present := sample.Present(tt.average, tt.busy, tt.told)
			is.True(present >= tt.min)
			is.True(present <= tt.max)
		})
	}
}
