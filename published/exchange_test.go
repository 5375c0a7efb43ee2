package published_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/published"
)

// TestMain sets a fixed seed for rapid unless one is given.
func TestMain(m *testing.M) { seedtest.Main(m) }

// offer is a document that one daemon has sent to another.
type offer struct {
	version  uint64
	document []byte
}

// exchange simulates stores that send versions to each other. Documents may arrive late,
// more than once or out of order.
type exchange struct {
	stores []*published.Store
	// highest holds the highest version that each store has had since its last restart.
	highest []uint64
	sent    []offer
}

// check fails the test if the version of a store has decreased or its state differs from
// its tables.
func (x *exchange) check(t *rapid.T) {
	for i, s := range x.stores {
		version := s.State(published.Tables).Version()
		if version < x.highest[i] {
			t.Fatalf("store %d went back from version %d to %d", i, x.highest[i], version)
		}
		x.highest[i] = version
		if tables := s.Tables(); version > 0 && (tables.Version() != version || published.Digest(tables.Digest()) != s.State(published.Tables).Digest()) {
			t.Fatalf("store %d has state version %d but tables of version %d", i, version, tables.Version())
		}
	}
}

// pull sends the current version of one store to another, as a delta if possible.
func (x *exchange) pull(t *rapid.T, from, to int) {
	version, document, ok := x.stores[from].Since(0, published.Tables, x.stores[to].State(published.Tables))
	if !ok {
		return
	}
	x.sent = append(x.sent, offer{version, document})
	verdict, err := x.stores[to].Offer(0, "peer", published.Tables, version, document)
	if verdict == published.Rejected || verdict == published.NeedsFullDocument {
		t.Fatalf("version %d of a peer was rejected: %v", version, err)
	}
}

// Guards against a store that goes back to a lower version or never reaches the highest one,
// because documents and deltas arrive late, twice or out of order, or because a daemon
// restarts without any version.
func TestStoresConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &exchange{highest: make([]uint64, 3)}
		for range x.highest {
			x.stores = append(x.stores, published.NewStore())
		}
		store := func(label string) int { return rapid.IntRange(0, len(x.stores)-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"": x.check,
			"publish": func(t *rapid.T) {
				version := rapid.IntRange(1, 30).Draw(t, "version")
				_, _ = x.stores[store("to")].Offer(0, "platform", published.Tables, uint64(version), tables(version, version%5*10))
			},
			"pull": func(t *rapid.T) { x.pull(t, store("from"), store("to")) },
			"late": func(t *rapid.T) {
				if len(x.sent) == 0 {
					t.Skip("no document was sent yet")
				}
				o := rapid.SampledFrom(x.sent).Draw(t, "offer")
				_, _ = x.stores[store("to")].Offer(0, "peer", published.Tables, o.version, o.document)
			},
			"forget": func(*rapid.T) {
				i := store("restarted")
				x.stores[i], x.highest[i] = published.NewStore(), 0
			},
		})
		x.check(t)
		want := slices.Max(x.highest)
		for range x.stores {
			for from := range x.stores {
				for to := range x.stores {
					x.pull(t, from, to)
				}
			}
		}
		for i, s := range x.stores {
			if s.State(published.Tables).Version() != want {
				t.Fatalf("store %d has version %d, want %d", i, s.State(published.Tables).Version(), want)
			}
		}
	})
}

func TestStoreAppliesDeltaFromPeer(t *testing.T) {
	is := is.New(t)
	a, b := published.NewStore(), published.NewStore()
	for _, version := range []int{1, 2} {
		if version == 2 {
			_, document, ok := a.Since(0, published.Tables, b.State(published.Tables))
			is.True(ok)
			_, err := b.Offer(0, "peer", published.Tables, 1, document)
			is.NoErr(err)
		}
		_, err := a.Offer(clock.Second, "platform", published.Tables, uint64(version), tables(version, version))
		is.NoErr(err)
	}
	version, delta, ok := a.Since(clock.Second, published.Tables, b.State(published.Tables))
	is.True(ok)
	verdict, err := published.NewStore().Offer(0, "peer", published.Tables, version, delta)
	is.Equal(verdict, published.NeedsFullDocument)
	is.True(err != nil)
	verdict, err = b.Offer(clock.Second, "peer", published.Tables, version, delta)
	is.NoErr(err)
	is.Equal(verdict, published.Accepted)
	is.Equal(b.State(published.Tables), a.State(published.Tables))
	is.True(b.Tables().HasRetired()) // the host that only version 1 has
	_, _, ok = a.Since(clock.Second, published.Tables, b.State(published.Tables))
	is.True(!ok) // no newer version
	_, again, _ := a.Since(clock.Second, published.Tables, published.NewState(1, published.Digest{}))
	is.Equal(string(again), string(delta))
}
