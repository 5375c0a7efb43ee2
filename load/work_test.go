package load_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/load"
)

func TestResponseTime(t *testing.T) {
	tests := []struct {
		name     string
		work     load.Work
		slots    int
		expected float64 // milliseconds
	}{
		{"nothing finishes", load.Work{Busy: 4}, 2, 0},
		{"free slots", load.Work{Busy: 1, Finished: 20}, 2, 50},
		{"all slots occupied", load.Work{Busy: 2, Finished: 40}, 2, 75},
		{"a queue", load.Work{Busy: 7, Finished: 40}, 2, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.work.ResponseTime(tt.slots), tt.expected)
		})
	}
}
