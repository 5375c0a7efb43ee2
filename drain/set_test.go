package drain_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
)

func begin(domain string, revision inband.Revision) drain.Mark {
	return drain.Mark{Domain: domain, Revision: revision}
}

func end(domain string, revision inband.Revision) drain.Mark {
	return drain.Mark{Domain: domain, Revision: revision, HasEnded: true}
}

// merged returns the set that results from marks, merged in order.
func merged(marks ...drain.Mark) *drain.Set {
	s := &drain.Set{}
	for _, m := range marks {
		s.Merge(0, m)
	}
	return s
}

func ExampleSet() {
	var drains drain.Set
	drains.Merge(0, drain.Mark{Domain: "a", Revision: 7})
	drains.Merge(0, drain.Mark{Domain: "a", Revision: 5, HasEnded: true}) // older, and ignored
	fmt.Println(drains.InForce())
	drains.Merge(0, drain.Mark{Domain: "a", Revision: 9, HasEnded: true})
	fmt.Println(drains.InForce())
	// Output:
	// [{a 7 false 0}]
	// []
}

func TestNewerMarkWins(t *testing.T) {
	tests := []struct {
		name      string
		marks     []drain.Mark
		inForce   []drain.Mark
		isChanged bool // by the last mark
	}{
		{"begins", []drain.Mark{begin("a", 7)}, []drain.Mark{begin("a", 7)}, true},
		{"repeated", []drain.Mark{begin("a", 7), begin("a", 7)}, []drain.Mark{begin("a", 7)}, false},
		{"written again", []drain.Mark{begin("a", 7), begin("a", 8)}, []drain.Mark{begin("a", 8)}, true},
		{"ended", []drain.Mark{begin("a", 7), end("a", 9)}, nil, true},
		{"late begin", []drain.Mark{begin("a", 7), end("a", 9), begin("a", 7)}, nil, false},
		{"end before its begin", []drain.Mark{end("a", 9), begin("a", 7)}, nil, false},
		{"late end", []drain.Mark{begin("a", 7), end("a", 9), begin("a", 11), end("a", 9)}, []drain.Mark{begin("a", 11)}, false},
		{"end of an unknown drain", []drain.Mark{end("a", 9)}, nil, false},
		{"other domain", []drain.Mark{begin("b", 7), begin("a", 5), end("b", 9)}, []drain.Mark{begin("a", 5)}, true},
		{"no domain", []drain.Mark{begin("", 7)}, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			last := len(tt.marks) - 1
			s := merged(tt.marks[:last]...)
			is.Equal(s.Merge(0, tt.marks[last]), tt.isChanged)
			is.Equal(s.InForce(), tt.inForce)
		})
	}
}

// The order in which marks arrive has no effect.
func TestOrderOfMarksIsIrrelevant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var marks []drain.Mark
		for revision := range rapid.IntRange(1, 8).Draw(t, "marks") {
			marks = append(marks, drain.Mark{
				Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), Revision: inband.Revision(revision + 1),
				HasEnded: rapid.Bool().Draw(t, "has ended"),
			})
		}
		inOrder, shuffled := merged(marks...), merged(rapid.Permutation(marks).Draw(t, "order")...)
		is := is.New(t)
		is.Equal(shuffled.All(0), inOrder.All(0))
		is.Equal(shuffled.Digest(newest), inOrder.Digest(newest))
	})
}

func TestCompleteListEndsDrainsThatItLacks(t *testing.T) {
	tests := []struct {
		name     string
		known    []drain.Mark
		complete []drain.Mark
		revision inband.Revision
		want     []drain.Mark
	}{
		{"listed", []drain.Mark{begin("a", 7)}, []drain.Mark{begin("a", 7)}, 9, nil},
		{"missing", []drain.Mark{begin("a", 7), begin("b", 8)}, []drain.Mark{begin("b", 8)}, 9, []drain.Mark{end("a", 9)}},
		{"begun after the list was read", []drain.Mark{begin("a", 7)}, nil, 6, nil},
		{"begun at the revision of the list", []drain.Mark{begin("a", 7)}, nil, 7, nil},
		{"ended before", []drain.Mark{begin("a", 7), end("a", 8)}, nil, 9, nil},
		{"of an earlier era", []drain.Mark{begin("a", 7)}, nil, inband.NewRevision(1, 9), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(merged(tt.known...).Missing(tt.complete, tt.revision), tt.want)
		})
	}
}

// A copy of the store shows a drain again that has ended: it has the number of the drain's begin, in a later era.
func TestDrainOfACopyIsNotInForce(t *testing.T) {
	first, ended := begin("a", inband.NewRevision(1, 7)), end("a", inband.NewRevision(1, 9))
	again, anew := begin("a", inband.NewRevision(2, 7)), begin("a", inband.NewRevision(2, 8))
	tests := []struct {
		name     string
		marks    []drain.Mark
		inForce  []drain.Mark
		released []drain.Mark
	}{
		{"shown again", []drain.Mark{first, ended, again}, nil, []drain.Mark{again}},
		{"drained anew", []drain.Mark{first, ended, anew}, []drain.Mark{anew}, nil},
		{"drained anew after the copy", []drain.Mark{first, ended, again, anew}, []drain.Mark{anew}, nil},
		{"had not ended", []drain.Mark{first, again}, []drain.Mark{again}, nil},
		{"its begin is unknown", []drain.Mark{ended, again}, []drain.Mark{again}, nil},
		{"ended again", []drain.Mark{first, ended, again, end("a", inband.NewRevision(2, 9))}, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := merged(tt.marks...)
			is.Equal(s.InForce(), tt.inForce)
			is.Equal(len(s.Release(ended.Revision)), 0) // a page of the new era was read, but not the last one
			is.Equal(s.Release(again.Revision), tt.released)
			is.Equal(len(s.InForce()), len(tt.inForce)+len(tt.released))
		})
	}
}

func TestEndsOfEarlierEras(t *testing.T) {
	is := is.New(t)
	now := inband.NewRevision(2, 5)
	s := merged(begin("a", inband.NewRevision(1, 7)), begin("b", inband.NewRevision(2, 4)), begin("c", 7), end("c", 8))
	is.Equal(s.EndsOfEarlierEras(now), []drain.Mark{end("a", now)})
}

// newest is a revision above all marks.
const newest inband.Revision = 100

// VMs that know of the same drains have the same digest, whatever else they have heard.
func TestDigestCoversDrainsInForce(t *testing.T) {
	is := is.New(t)
	is.Equal(merged().Digest(newest), uint64(0))
	is.Equal(merged(begin("a", 7), end("a", 9)).Digest(newest), uint64(0))
	is.Equal(merged(begin("a", 7), begin("b", 8), end("b", 9)).Digest(newest), merged(begin("a", 7)).Digest(newest))
	is.True(merged(begin("a", 7)).Digest(newest) != merged(begin("b", 7)).Digest(newest))
	is.True(merged(begin("a", 7)).Digest(newest) != merged(begin("a", 8)).Digest(newest))
	is.Equal(merged(begin("a", 7), begin("b", 8)).Digest(7), merged(begin("a", 7)).Digest(newest)) // b is ahead
}

func TestOldTombstonesAreForgotten(t *testing.T) {
	is := is.New(t)
	s := merged(begin("a", 7), begin("b", 8), end("b", 9))
	s.Prune(3 * clock.Minute)
	is.Equal(s.All(3*clock.Minute), []drain.Mark{begin("a", 7), {Domain: "b", Revision: 9, HasEnded: true, KnownMS: 3 * clock.Minute}})
	s.Prune(3*clock.Minute + 1)
	is.Equal(s.All(0), []drain.Mark{begin("a", 7)}) // a drain in force stays
}
