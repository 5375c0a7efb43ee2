package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Targets may become cold without a restart, for example while their domain is drained. Only their
// entries tell.
func TestTargetThatBecomesCold(t *testing.T) {
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
		{"warm", []clock.Millis{0, 0}, nil, 0},
		{"becomes cold", []clock.Millis{0, 5000}, []string{"serving, in slow start"}, at + 6*clock.Second},
		{"heartbeats during the slow start", []clock.Millis{5000, 4000, 3000}, []string{"serving, in slow start"}, at + 5*clock.Second},
		{"heartbeat that was late", []clock.Millis{5000, 4900}, []string{"serving, in slow start"}, at + 5900},
		{"cold again, unknown to be warm", []clock.Millis{1500, unseen, unseen, 5000}, []string{"serving, in slow start", "serving, in slow start"}, at + 8*clock.Second},
		{"cold again", []clock.Millis{1500, 500, 0, 5000}, []string{"serving, in slow start", "serving, in slow start"}, at + 8*clock.Second},
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
