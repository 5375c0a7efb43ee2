package slowstart_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/ratetest"
	"github.com/almondflow/almondflow/slowstart"
)

func ExampleInterval() {
	interval, mayOpen := slowstart.Interval(5, 1, 3) // two flows per second for ranks 0 and 1, one for rank 2
	fmt.Println(interval, mayOpen)
	// Output: 500 true
}

func TestInterval(t *testing.T) {
	tests := []struct {
		name     string
		limit    float64
		rank     int
		vms      int
		expected clock.Millis
		mayOpen  bool
	}{
		{"one VM takes all", 8, 0, 1, 125, true},
		{"less than a flow per second", 0.25, 0, 20, 4000, true},
		{"less than a flow per second, another VM's turn", 0.25, 1, 20, 4000, false},
		{"fewer flows than VMs, chosen", 3, 2, 20, 1000, true},
		{"fewer flows than VMs, not chosen", 3, 3, 20, 0, false},
		{"an uneven rest goes to the first ranks", 7, 2, 3, 500, true},
		{"no limit is no share", 0, 0, 1, 0, false},
		{"a VM that is not among them", 5, 3, 3, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			interval, mayOpen := slowstart.Interval(tt.limit, tt.rank, tt.vms)
			is.Equal(mayOpen, tt.mayOpen)
			if tt.mayOpen {
				is.Equal(interval, tt.expected)
			}
		})
	}
}

// Load: all VMs have more openings for one cold target than it bears. Whatever the limit and the number of
// VMs, no second holds more flows than the limit, and they get all of it.
func TestSharesAddUpToTheLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, vms := range []int{1, 3, 20, 50, 300} {
		for _, limit := range []float64{1, 2, 7, 20, 49, 50, 51, 120, 1000} {
			t.Run(fmt.Sprintf("%d VMs, %v a second", vms, limit), func(t *testing.T) {
				is := is.New(t)
				opened := openAll(random, limit, vms, 5*clock.Second)
				is.True(ratetest.MostInOneSecond(opened) <= int(limit))
				is.True(float64(len(opened)) >= 4*limit*0.9)
			})
		}
	}
}

// openAll returns the times at which all VMs together open flows for some time, each from its own start.
func openAll(random *rand.Rand, limit float64, vms int, end clock.Millis) []clock.Millis {
	var opened []clock.Millis
	for rank := range vms {
		interval, mayOpen := slowstart.Interval(limit, rank, vms)
		if !mayOpen {
			continue
		}
		for at := clock.Millis(random.Int64N(int64(interval))); at < end; at += interval {
			opened = append(opened, at)
		}
	}
	return opened
}

// The target counts openings that are sent and arrive in one second, whatever the ways to the VMs and from them take.
func TestSharesHoldWhereTheTargetCounts(t *testing.T) {
	const maxDelay = 300 // milliseconds, of a client's way to its VM and of that to the target
	random := rand.New(rand.NewPCG(2, 2))
	for _, limit := range []float64{1, 7, 50, 120} {
		t.Run(fmt.Sprintf("%v a second", limit), func(t *testing.T) {
			is := is.New(t)
			const vms = 50
			var events []ratetest.Event
			for _, at := range openAll(random, limit, vms, 5*clock.Second) {
				events = append(events, ratetest.Event{
					SentAt: at - clock.Millis(random.IntN(maxDelay)), ArrivedAt: at + clock.Millis(random.IntN(maxDelay)),
				})
			}
			is.True(ratetest.MostSentAndArrivedInOneSecond(events) <= int(limit))
		})
	}
}
