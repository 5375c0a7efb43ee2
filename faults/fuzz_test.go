package faults

import (
	"flag"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/seedtest"
)

var (
	fuzzRuns   = flag.Uint64("faults.runs", 0, "number of additional random runs")
	fuzzSeed   = flag.Uint64("faults.seed", 0, "seed of the first random run")
	fuzzDefect = flag.Uint("faults.breakage", 0, "number of the deliberate defect that random runs enable")
)

// parallelRuns is the number of random runs that are played at a time.
const parallelRuns = 4

func TestMain(m *testing.M) { seedtest.Main(m) }

// seededChooser returns a chooser that draws from a random generator.
func seededChooser(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, n int) int { return random.IntN(n) }
}

// replayChooser returns a chooser that repeats recorded draws.
func replayChooser(drawn []int) chooser {
	return func(string, int) int {
		next := drawn[0]
		drawn = drawn[1:]
		return next
	}
}

// replayTrace plays a run again and returns its trace.
func replayTrace(choose chooser, defect core.Defect) string {
	f := newFuzzRun(choose, defect, false, true)
	if err := f.play(); err == nil {
		return "the run did not fail when it was played again"
	}
	return f.filteredTrace()
}

// TestGuaranteesHoldUnderFaults plays runs with random changes and faults and fails if one
// violates a guarantee.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var drawn []int
		choose := func(label string, n int) int {
			drawn = append(drawn, rapid.IntRange(0, n-1).Draw(t, label))
			return drawn[len(drawn)-1]
		}
		if err := newFuzzRun(choose, core.NoDefect, false, false).play(); err != nil {
			t.Fatalf("%v\n%s", err, replayTrace(replayChooser(drawn), core.NoDefect))
		}
	})
}

// failure is a run with a violation.
type failure struct {
	seed uint64
	err  error
}

// findFailures plays runs with consecutive seeds, several at a time, until the limit of
// failures is reached.
func findFailures(first, runs uint64, limit int, defect core.Defect) []failure {
	var next atomic.Uint64
	var mutex sync.Mutex
	var found []failure
	var group sync.WaitGroup
	for range parallelRuns {
		group.Go(func() {
			for i := next.Add(1) - 1; i < runs; i = next.Add(1) - 1 {
				err := newFuzzRun(seededChooser(first+i), defect, false, false).play()
				mutex.Lock()
				if err != nil {
					found = append(found, failure{first + i, err})
				}
				enough := len(found) >= limit
				mutex.Unlock()
				if enough {
					return
				}
			}
		})
	}
	group.Wait()
	return found
}

// maxShownFailures limits the number of failed runs that are printed.
const maxShownFailures = 20

// TestMoreFaultRuns plays the runs that the flags ask for. If exactly one fails, it prints the
// trace of that run.
func TestMoreFaultRuns(t *testing.T) {
	defect := core.Defect(*fuzzDefect)
	found := findFailures(*fuzzSeed, *fuzzRuns, maxShownFailures, defect)
	for _, f := range found {
		t.Errorf("seed %d: %v", f.seed, f.err)
	}
	if len(found) == 1 {
		t.Log(replayTrace(seededChooser(found[0].seed), defect))
	}
}
