package faults

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
)

// convergenceLimit is the time within which all VMs must apply an edit of the tables.
const convergenceLimit = 3 * clock.Second

// markHostLeaving publishes tables in which a host is leaving.
func markHostLeaving(s *simulation) { s.platform.setHostState("b03", "leaving") }

// blockPlatform makes the platform unreachable for the VMs that isBlocked selects.
func (s *simulation) blockPlatform(isBlocked func(v *vm) bool) {
	for _, v := range s.vms {
		v.platformBlocked = isBlocked(v)
	}
}

// TestTableEditConverges checks that an edit of the tables reaches every VM in time, although
// the platform is unreachable for some VMs, a partition has just ended or VMs crash.
func TestTableEditConverges(t *testing.T) {
	tests := []struct {
		name string
		play func(s *simulation) // returns when the time limit starts
	}{
		{"without faults", markHostLeaving},
		{"platform unreachable for one reader", func(s *simulation) {
			s.blockPlatform(func(v *vm) bool { return v.name == "kadikoy-0" })
			markHostLeaving(s)
		}},
		{"platform reachable for one VM only", func(s *simulation) {
			s.blockPlatform(func(v *vm) bool { return v.name != "kadikoy-0" })
			markHostLeaving(s)
		}},
		{"updates out of order", func(s *simulation) {
			s.platform.reorder = true
			markHostLeaving(s)
			s.advance(200)
			s.platform.setHostState("b04", "leaving")
		}},
		{"partition healed", func(s *simulation) {
			s.setPartitioned("kadikoy", true)
			s.advance(10 * clock.Second)
			markHostLeaving(s)
			s.advance(10 * clock.Second)
			s.setPartitioned("kadikoy", false)
		}},
		{"partition healed, platform reachable for one VM of the other side", func(s *simulation) {
			s.blockPlatform(func(v *vm) bool { return v.name != "bakirkoy-0" })
			s.setPartitioned("kadikoy", true)
			s.advance(10 * clock.Second)
			markHostLeaving(s)
			s.advance(10 * clock.Second)
			s.setPartitioned("kadikoy", false)
		}},
		{"one VM in each domain crashes at the same time", func(s *simulation) {
			s.crashAndReplace("kadikoy-0", "besiktas-0", "umraniye-0", "bakirkoy-0")
			markHostLeaving(s)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(marmaraConfig(*benchSeed))
			s.advance(warmUp)
			test.play(s)
			s.advance(convergenceLimit)
			for _, v := range s.vms {
				if v.up {
					is.Equal(v.tables.Version(), s.platform.tablesVersion) // every VM that is up has the latest tables
				}
			}
			is.Equal(len(s.oracle.violations), 0) // no version decreased
		})
	}
}
