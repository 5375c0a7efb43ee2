package table_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/almondflow/almondflow/table"
)

// BenchmarkParse measures a whole document: time, bytes of JSON and bytes of state.
func BenchmarkParse(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			document := s.document(1, 0)
			var snapshot *table.Snapshot
			before := heap()
			b.ResetTimer()
			for b.Loop() {
				parsed, err := table.Parse(document)
				if err != nil {
					b.Fatal(err)
				}
				snapshot = parsed
			}
			b.StopTimer()
			elapsed := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(elapsed/float64(s.hosts), "ns/host")
			b.ReportMetric(float64(len(document))/float64(s.hosts), "document_B/host")
			b.ReportMetric(float64(heap()-before)/float64(s.hosts), "state_B/host")
			runtime.KeepAlive(snapshot)
			runtime.KeepAlive(document)
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkDelta measures an edit of one host: the bytes that peers hand on, and the
// time to make and to apply them beside the time to parse the whole document.
func BenchmarkDelta(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			old, err := table.Parse(s.document(1, 0))
			if err != nil {
				b.Fatal(err)
			}
			started := time.Now()
			next, err := table.Parse(s.document(2, s.addresses/2))
			if err != nil {
				b.Fatal(err)
			}
			whole := time.Since(started)
			delta := next.Delta(old)
			b.ResetTimer()
			for b.Loop() {
				applied, err := old.Apply(delta)
				if err != nil {
					b.Fatal(err)
				}
				table.Succeed(old, applied, 0)
			}
			b.StopTimer()
			elapsed := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(float64(len(delta)), "delta_B")
			b.ReportMetric(elapsed/1e6, "apply_ms")
			b.ReportMetric(float64(whole.Nanoseconds())/elapsed, "whole/apply")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRetained measures the bytes of state that each further version costs while
// the versions before it are kept.
func BenchmarkRetained(b *testing.B) {
	const versions = 8
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			first, err := table.Parse(s.document(1, 0))
			if err != nil {
				b.Fatal(err)
			}
			var deltas [][]byte
			for version := 2; version < 2+versions; version++ {
				next, err := first.Apply(edit(first, s, version))
				if err != nil {
					b.Fatal(err)
				}
				deltas = append(deltas, next.Delta(first))
			}
			before := heap()
			kept := []*table.Snapshot{first}
			for b.Loop() {
				kept = kept[:1]
				for _, delta := range deltas {
					next, err := first.Apply(delta)
					if err != nil {
						b.Fatal(err)
					}
					kept = append(kept, next)
				}
			}
			b.ReportMetric(float64(heap()-before)/versions, "state_B/version")
			runtime.KeepAlive(kept)
		})
	}
}

// edit returns a delta that gives one pool another generation.
func edit(base *table.Snapshot, s size, version int) []byte {
	next, err := table.Parse(s.document(version, version))
	if err != nil {
		panic(err)
	}
	return next.Delta(base)
}
