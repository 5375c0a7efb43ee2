package front

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
)

// A drain is told for its own time, however many targets change meanwhile, and only by its newest mark.
func TestRecentDrains(t *testing.T) {
	begin := drain.Mark{Domain: "a", Revision: 11}
	other := drain.Mark{Domain: "b", Revision: 12}
	end := drain.Mark{Domain: "a", Revision: 13, HasEnded: true}
	tests := []struct {
		name string
		at   clock.Millis
		want []drain.Mark
	}{
		{"both", 1100, []drain.Mark{begin, other}},
		{"one per domain", 2100, []drain.Mark{other, end}},
		{"the older one has been told", 3600, []drain.Mark{end}},
		{"all have been told", 4600, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newReadDaemon(t)
			d.keepRecent(1000, []catalog.Change{{Drain: &begin}})
			d.keepRecent(1000, []catalog.Change{{Drain: &other}})
			if tt.at > 2000 {
				d.keepRecent(2000, []catalog.Change{{Drain: &end}})
			}
			for now := clock.Millis(1050); now < tt.at; now += 50 {
				d.keepRecent(now, []catalog.Change{{Target: newDomainTarget("i-3", "c")}})
			}
			is.Equal(d.announcement(tt.at).Drains, tt.want)
		})
	}
}
