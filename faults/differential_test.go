package faults

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/core"
)

// differentialRuns is how many random worlds both versions meet.
const differentialRuns = 60

// TestNaiveVersionAgreesWithoutFaults plays no faults with fixed tables: both versions
// send every flow to one target of its own service and nobody breaks a promise.
func TestNaiveVersionAgreesWithoutFaults(t *testing.T) {
	is := is.New(t)
	for _, naive := range []bool{false, true} {
		for seed := range uint64(differentialRuns) {
			f := newFuzz(seeded(seed), core.Unbroken, naive, false)
			f.config.shed = 0
			f.run(fuzzWarmUp)
			f.oracle.watch()
			f.oracle.steady = true
			for range 4 {
				f.flows()
			}
			f.run(2 * fuzzTail)
			f.checkFeeds()
			is.NoErr(f.verdict())
			for _, c := range f.sortedClients() {
				is.Equal(len(c.visited), 1)         // one target
				is.Equal(c.visited[0].kind, c.kind) // of the right service
				is.Equal(c.state, finished)
			}
		}
	}
}

// TestNaiveVersionBreaksPromises plays the same runs with both versions. Where they
// differ the oracle finds the naive version wrong.
func TestNaiveVersionBreaksPromises(t *testing.T) {
	is := is.New(t)
	wrong, differs := 0, 0
	for seed := range uint64(differentialRuns) {
		is.NoErr(newFuzz(seeded(seed), core.Unbroken, false, false).play())
		f := newFuzz(seeded(seed), core.Unbroken, true, false)
		err := f.play()
		for _, c := range f.clients {
			if len(c.visited) > 1 {
				differs++
				break
			}
		}
		if err != nil {
			wrong++
		}
	}
	is.True(wrong > 0)
	is.True(differs > 0)
	t.Logf("the naive version broke a promise in %d of %d runs and moved flows in %d", wrong, differentialRuns, differs)
}
