package table_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/almondflow/almondflow/strictjson"
	"github.com/almondflow/almondflow/table"
)

// BenchmarkParse measures parsing a full document: time, size of the JSON text and
// size of the snapshot in memory.
func BenchmarkParse(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			document := s.document(1, 0)
			var snapshot *table.Snapshot
			before := heapBytes()
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
			b.ReportMetric(float64(heapBytes()-before)/float64(s.hosts), "state_B/host")
			runtime.KeepAlive(snapshot)
			runtime.KeepAlive(document)
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkDelta measures a change of one host: the size of the delta that peers send and
// the time to apply it, compared with the time to parse the full document.
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
			parseTime := time.Since(started)
			delta := next.Delta(old)
			b.ResetTimer()
			for b.Loop() {
				applied, err := old.Apply(delta)
				if err != nil {
					b.Fatal(err)
				}
				table.WithRetiredOf(old, applied, 0)
			}
			b.StopTimer()
			elapsed := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(float64(len(delta)), "delta_B")
			b.ReportMetric(elapsed/1e6, "apply_ms")
			b.ReportMetric(float64(parseTime.Nanoseconds())/elapsed, "whole/apply")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkReplaceParts measures a change of one host in tables that are split into parts:
// one part of many is replaced.
func BenchmarkReplaceParts(b *testing.B) {
	const pools = 100 // in one part
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			old, err := table.Parse(s.document(1, 0))
			if err != nil {
				b.Fatal(err)
			}
			removed, added := s.part(0, pools, 1), s.part(0, pools, 2)
			b.ResetTimer()
			for b.Loop() {
				if _, err := old.ReplaceParts(2, removed, added); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e6, "replace_ms")
			b.ReportMetric(float64(len(added[0].Document())), "part_B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRetained measures the memory that each further version takes while the
// previous versions are kept.
func BenchmarkRetained(b *testing.B) {
	const versions = 8
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			first, err := table.Parse(s.document(1, 0))
			if err != nil {
				b.Fatal(err)
			}
			before := heapBytes()
			kept := []*table.Snapshot{first}
			for b.Loop() {
				kept = kept[:1]
				for version := 2; version < 2+versions; version++ {
					last := kept[len(kept)-1]
					next, err := last.ReplaceParts(uint64(version), s.part(version, version+1, 1), s.part(version, version+1, version))
					if err != nil {
						b.Fatal(err)
					}
					kept = append(kept, next)
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/versions, "state_B/version")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(kept)
		})
	}
}

// part returns one part with the pools from to to-1. The first host of the first pool has
// the given generation.
func (s size) part(from, to, generation int) []strictjson.Part {
	pools := []string{s.poolJSON(from, generation)}
	for i := from + 1; i < to; i++ {
		pools = append(pools, s.poolJSON(i, 1))
	}
	return []strictjson.Part{strictjson.NewPart("part", []byte(`{"pools":[`+strings.Join(pools, ",")+`]}`))}
}
