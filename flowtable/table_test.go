package flowtable_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/flowtable"
)

func TestMain(m *testing.M) { seedtest.Main(m) }

func testKey(n uint32) flow.Key {
	client := netip.AddrFrom4([4]byte{10, byte(n >> 24), byte(n >> 16), byte(n >> 8)})
	return flow.NewKey(flow.TCP, flow.NewEndpoint(netip.AddrPortFrom(client, uint16(n))), flow.Endpoint{})
}

// TestTableMatchesMap compares the table with a Go map. It uses only few distinct hashes,
// because the resulting long probe runs are the difficult case for deletion.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := flowtable.New[int]()
		want := map[flow.Key]int{}
		hashOf := func(n uint32) uint64 { return uint64(n % 7) }
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				n := rapid.Uint32Range(0, 300).Draw(t, "n")
				key := testKey(n)
				value, added := table.Put(hashOf(n), &key)
				_, had := want[key]
				if added == had {
					t.Fatalf("Put: added = %v, but the key was present = %v", added, had)
				}
				*value = int(n)
				want[key] = int(n)
			},
			"delete": func(t *rapid.T) {
				n := rapid.Uint32Range(0, 300).Draw(t, "n")
				key := testKey(n)
				_, had := want[key]
				if table.Delete(hashOf(n), &key) != had {
					t.Fatalf("Delete(%d) disagrees with the map", n)
				}
				delete(want, key)
			},
			"": func(t *rapid.T) {
				if table.Len() != len(want) {
					t.Fatalf("length %d, want %d", table.Len(), len(want))
				}
				for key, value := range want {
					got := table.Get(hashOf(uint32(value)), &key)
					if got == nil || *got != value {
						t.Fatalf("table lost the value %d", value)
					}
				}
			},
		})
	})
}

// TestSweepVisitsAndDeletes guards against sweeps that skip flows or visit them twice when
// flows are deleted during the sweep.
func TestSweepVisitsAndDeletes(t *testing.T) {
	is := is.New(t)
	table := flowtable.New[int]()
	const flows = 5000
	for n := range uint32(flows) {
		key := testKey(n)
		value, _ := table.Put(key.Hash(1), &key)
		*value = int(n)
	}
	visited := 0
	position := 0
	for range 10 {
		position = table.Sweep(position, flows/10, func(_ uint64, _ *flow.Key, value *int) bool {
			visited++
			return *value%2 == 0
		})
	}
	is.Equal(visited, flows)
	is.Equal(table.Len(), flows/2)
	is.Equal(position, 0) // wrapped around to the start
}

// BenchmarkGet measures the lookup of one of 300,000 flows with values of 56 bytes.
func BenchmarkGet(b *testing.B) {
	table := flowtable.New[[56]byte]()
	const flows = 300_000
	keys := make([]flow.Key, flows)
	for n := range uint32(flows) {
		keys[n] = testKey(n)
		table.Put(keys[n].Hash(1), &keys[n])
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		key := &keys[n%flows]
		table.Get(key.Hash(1), key)
		n += 7919
	}
}

// BenchmarkMemoryOfFlow measures the heap per flow of a table of 300,000 flows with values of
// 56 bytes.
func BenchmarkMemoryOfFlow(b *testing.B) {
	const flows = 300_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := flowtable.New[[56]byte]()
		for n := range uint32(flows) {
			key := testKey(n)
			table.Put(key.Hash(1), &key)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(table)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "bytes/flow")
}
