package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Most VMs see no entry that only tells of a slow start, but each learns of the end of a drain.
func TestTargetsAreInSlowStartAfterADrain(t *testing.T) {
	const (
		slowStart = 8 * clock.Second
		at        = 20 * clock.Second
	)
	newer := func(revision inband.Revision, left clock.Millis) *catalog.Changes {
		target := newTarget("i-1", revision, inband.Serving)
		target.SlowStartLeftMS = left
		return newChanges(0, revision, target)
	}
	tests := []struct {
		name     string
		services []inband.Service
		domain   string
		later    []*catalog.Changes
		want     clock.Millis // end of the slow start
	}{
		{"no entry", []inband.Service{{Name: "core", SlowStartMS: slowStart}}, "a", nil, at + slowStart},
		{"entry after its slow start", []inband.Service{{Name: "core", SlowStartMS: slowStart}}, "a", []*catalog.Changes{newer(13, 0)}, at},
		{"entry in its slow start", []inband.Service{{Name: "core", SlowStartMS: slowStart}}, "a", []*catalog.Changes{newer(13, 3000)}, at + 3000},
		{"entry from before the end", []inband.Service{{Name: "core", SlowStartMS: slowStart}}, "a", []*catalog.Changes{newer(11, 0)}, at + slowStart},
		{"other domain", []inband.Service{{Name: "core", SlowStartMS: slowStart}}, "b", nil, 0},
		{"other service", []inband.Service{{Name: "store", SlowStartMS: slowStart}}, "a", nil, 0},
		{"no slow starts", nil, "a", nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := catalog.New()
			first := newChanges(1, 10, newTarget("i-1", 9, inband.Serving))
			first.Tables.Services, first.Tables.Routes = tt.services, coreTables(1, "core").Routes
			first.Targets[0].Service, first.Targets[0].Domain = "core", "a"
			c.Replace(0, 0, first)
			c.Apply(10, 10, newDrains(10, drainOf(tt.domain, 10)))
			c.TakeChanged()
			c.Apply(at, at, newDrains(12, endOf(tt.domain, 12)))
			for _, changes := range tt.later {
				changes.Targets[0].Service, changes.Targets[0].Domain = "core", "a"
				is.Equal(len(c.Apply(at, at, changes)), 0) // siblings need not be told
			}
			is.Equal(entryI1(c).SlowStartUntil(), tt.want)
			is.Equal(len(c.TakeChanged()) > 0, tt.want > 0) // placement is told
		})
	}
}

// A sibling tells the rest of a slow start, not what was left of it when it read the entry.
func TestViewHoldsTheRestOfASlowStart(t *testing.T) {
	tests := []struct {
		name string
		at   clock.Millis // when the view is sent
		want clock.Millis // end of the slow start at the receiver, which gets the view 100 ms later
	}{
		{"at once", 1000, 6100},
		{"late", 4000, 6100},
		{"over", 9000, 9100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known, starting := catalog.New(), catalog.New()
			target := newTarget("i-1", 9, inband.Serving)
			target.SlowStartLeftMS = 5000
			known.Replace(1000, 1000, newChanges(1, 10, target))
			starting.Replace(tt.at+100, tt.at, known.ChangesSince(tt.at, 0, 0))
			is.Equal(entryI1(starting).SlowStartUntil(), tt.want)
			is.Equal(target.SlowStartLeftMS, clock.Millis(5000)) // targets are immutable
		})
	}
}

// A slow start may begin without a restart, for example while the domain is drained. Only the targets'
// entries tell.
func TestSlowStartWithoutARestart(t *testing.T) {
	const (
		at     = 10 * clock.Second
		unseen = clock.Millis(-1) // siblings send no heartbeats on
	)
	tests := []struct {
		name   string
		leftMS []clock.Millis // in entries that arrive every second, or unseen
		want   []string       // states after changes
		until  clock.Millis   // end of the slow start
	}{
		{"none", []clock.Millis{0, 0}, nil, 0},
		{"begins", []clock.Millis{0, 5000}, []string{"serving, in slow start"}, at + 6*clock.Second},
		{"heartbeats during the slow start", []clock.Millis{5000, 4000, 3000}, []string{"serving, in slow start"}, at + 5*clock.Second},
		{"heartbeat that was late", []clock.Millis{5000, 4900}, []string{"serving, in slow start"}, at + 5900},
		{"begins again, its end unseen", []clock.Millis{1500, unseen, unseen, 5000}, []string{"serving, in slow start", "serving, in slow start"}, at + 8*clock.Second},
		{"begins again", []clock.Millis{1500, 500, 0, 5000}, []string{"serving, in slow start", "serving, in slow start"}, at + 8*clock.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := catalog.New()
			c.Replace(0, 0, newChanges(1, 10, newTarget("i-1", 9, inband.Serving)))
			var states []string
			for i, left := range tt.leftMS {
				if left == unseen {
					continue
				}
				target := newTarget("i-1", inband.Revision(11+i), inband.Serving)
				target.SlowStartLeftMS = left
				now := at + clock.Millis(i)*clock.Second
				for _, change := range c.Apply(now, now, newChanges(0, target.Revision, target)) {
					states = append(states, change.After)
				}
			}
			is.Equal(states, tt.want)
			is.Equal(entryI1(c).SlowStartUntil(), tt.until)
		})
	}
}
