package shedding_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/shedding"
)

// Targets that shed because they are full are told from targets that fail, under several loads of a pool of
// 30 targets with 2 slots each.
func TestShedRequestsByLoad(t *testing.T) {
	tests := []struct {
		name              string
		target, pool      float64 // requests under way
		mayShed, mayAbort bool
	}{
		{"idle pool, a target fails", 0, 0, false, false},
		{"usual load, a target fails at once", 0.4, 36, false, false},
		{"usual load, a target fails with its slots occupied", 2, 36, false, false},
		{"usual load, a target answers no request", 7.5, 50, true, false},
		{"one target is full, the pool has room", 9, 40, true, false},
		{"one kind presses, all targets are full", 9, 280, true, true},
		{"one kind presses, news of the target are late", 2.5, 200, true, true},
		{"one kind presses, a target fails at once", 0.5, 200, false, false},
		{"a domain has lost all its targets", 0, 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target := shedding.Target{
				Work: load.Work{Busy: tt.target}, Slots: 2,
				Pool: load.DomainPool{Targets: 30, Slots: 60, Work: load.Work{Busy: tt.pool}},
			}
			is.Equal(target.MayShedByError(), tt.mayShed)
			is.Equal(target.MayShedBySilence(), tt.mayAbort)
		})
	}
}
