package faults

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
)

// convergeSpan is the span in which an edit has to be in force everywhere.
const convergeSpan = 3 * clock.Second

// edit publishes tables with another mark of a host.
func edit(w *world) { w.platform.mark("b03", "leaving") }

// keepFromPlatform lets some VMs no longer read the platform.
func (w *world) keepFromPlatform(isKept func(v *vm) bool) {
	for _, v := range w.vms {
		v.unread = isKept(v)
	}
}

func TestEditIsInForceEverywhere(t *testing.T) {
	tests := []struct {
		name string
		play func(w *world) // ends when the span begins
	}{
		{"without faults", edit},
		{"platform down at one reader", func(w *world) {
			w.keepFromPlatform(func(v *vm) bool { return v.name == "kadikoy-0" })
			edit(w)
		}},
		{"platform reached by one VM only", func(w *world) {
			w.keepFromPlatform(func(v *vm) bool { return v.name != "kadikoy-0" })
			edit(w)
		}},
		{"updates out of order", func(w *world) {
			w.platform.reorder = true
			edit(w)
			w.run(200)
			w.platform.mark("b04", "leaving")
		}},
		{"partition healed", func(w *world) {
			w.isolate("kadikoy", true)
			w.run(10 * clock.Second)
			edit(w)
			w.run(10 * clock.Second)
			w.isolate("kadikoy", false)
		}},
		{"partition healed, platform reached by one VM of the other side", func(w *world) {
			w.keepFromPlatform(func(v *vm) bool { return v.name != "bakirkoy-0" })
			w.isolate("kadikoy", true)
			w.run(10 * clock.Second)
			edit(w)
			w.run(10 * clock.Second)
			w.isolate("kadikoy", false)
		}},
		{"one VM in each domain crashes at the same time", func(w *world) {
			w.crashAndReplace("kadikoy-0", "besiktas-0", "umraniye-0", "bakirkoy-0")
			edit(w)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(marmara(*benchSeed))
			w.run(warmUp)
			test.play(w)
			w.run(convergeSpan)
			for _, v := range w.vms {
				if v.up {
					is.Equal(v.tables.Version(), w.platform.tablesVersion) // in force at every VM that is up
				}
			}
			is.Equal(len(w.oracle.violations), 0) // no version fell
		})
	}
}
