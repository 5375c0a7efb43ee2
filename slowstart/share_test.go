package slowstart_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/ratetest"
	"github.com/almondflow/almondflow/slowstart"
)

func ExampleShare() {
	var s slowstart.Share
	s.Renew(0, 4, 0, 2) // two of four requests per second, as there are two VMs
	fmt.Println(s.HasRoom(0))
	s.Count(0)
	fmt.Println(s.HasRoom(499), s.HasRoom(500))
	// Output:
	// true
	// false true
}

func TestShareExpires(t *testing.T) {
	is := is.New(t)
	var s slowstart.Share
	is.True(s.IsExpired(0))
	s.Renew(0, 4, 0, 2)
	is.True(!s.IsExpired(249))
	is.True(s.IsExpired(250))
	s.Count(0)
	s.Renew(250, 4, 0, 2)
	is.True(!s.HasRoom(250)) // what was counted before still counts
	s.Renew(500, 4, 5, 2)
	is.True(!s.HasRoom(1000)) // it is no more among the VMs that open flows there
}

// Load: requests of open flows come at some rate, and clients want to open more flows than the share of ten a second.
// New flows get what the open ones leave, and wait for a second at most once these have ended.
func TestNewFlowsGetWhatOpenOnesLeave(t *testing.T) {
	const limit, end = 10, 5 * clock.Second
	tests := []struct {
		name     string
		interval clock.Millis // between requests of open flows, or zero if there are none
		want     int          // most new flows in a second
	}{
		{"no open flows", 0, 10},
		{"half of the share", 200, 6}, // one that waits for the end of the second before
		{"all of the share", 100, 1},
		{"more than the share", 20, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s slowstart.Share
			var opened []clock.Millis
			for now := clock.Millis(0); now < 2*end; now += 10 {
				if s.IsExpired(now) {
					s.Renew(now, limit, 0, 1)
				}
				if s.HasRoom(now) {
					s.Count(now)
					opened = append(opened, now)
				}
				if now < end && tt.interval > 0 && now%tt.interval == 0 {
					s.Count(now)
				}
			}
			before := countBefore(opened, end)
			is.True(ratetest.MostInOneSecond(opened[:before]) <= tt.want)
			is.True(len(opened) > before)
			is.True(opened[before] <= end+clock.Second+clock.Second/limit)
		})
	}
}

// countBefore returns how many of some times, which rise, are before an end.
func countBefore(times []clock.Millis, end clock.Millis) int {
	count := 0
	for _, at := range times {
		if at < end {
			count++
		}
	}
	return count
}
