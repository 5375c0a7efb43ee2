package spread_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/spread"
)

func ExampleTarget_ResponseTime() {
	idle := spread.Target{Work: load.Work{Busy: 0.2}, Slots: 2, Slowdown: 1}
	busy := spread.Target{Work: load.Work{Busy: 5}, Slots: 2, Slowdown: 1}
	slow := spread.Target{Work: load.Work{Busy: 2}, Slots: 2, Slowdown: 3.6}
	for _, t := range []spread.Target{idle, busy, slow} {
		fmt.Printf("%.1f\n", t.ResponseTime())
	}
	// Output:
	// 1.0
	// 3.0
	// 5.4
}

// A slow target gets less than what it finishes, but for pools where requests wait about as long.
func TestCostOfSlowTargets(t *testing.T) {
	is := is.New(t)
	usual, slow := spread.Target{Slots: 2, Slowdown: 1}, spread.Target{Slots: 2, Slowdown: 4}
	is.Equal(slow.Cost(1, 0, 1)/usual.Cost(1, 0, 1), 64.0)
	is.Equal(slow.Cost(4, 0, 1)/usual.Cost(4, 0, 1), 4.0)
}

func TestIsFull(t *testing.T) {
	is := is.New(t)
	work := load.Work{Flows: 100}
	is.True(!spread.Target{Work: work}.IsFull()) // no limit
	is.True(!spread.Target{Work: work, MaxConnections: 101}.IsFull())
	is.True(spread.Target{Work: work, MaxConnections: 100}.IsFull())
}
