package faults

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/core"
)

// differentialRuns is the number of random runs that are played with both versions.
const differentialRuns = 60

// TestBaselineAgreesWithoutFaults checks that without faults and with fixed tables, both
// versions send every flow to one target of its own kind and violate no guarantee.
func TestBaselineAgreesWithoutFaults(t *testing.T) {
	is := is.New(t)
	for _, naive := range []bool{false, true} {
		for seed := range uint64(differentialRuns) {
			f := newFuzzRun(seededChooser(seed), core.NoDefect, naive, false)
			f.config.shedPercent = 0
			f.advance(fuzzWarmUp)
			f.oracle.startCounting()
			f.oracle.onlyCrashes = true
			for range 4 {
				f.startFlows()
			}
			f.advance(2 * finalDuration)
			f.checkFlowsSurvived()
			is.NoErr(f.firstViolation())
			for _, c := range f.sortedClients() {
				is.Equal(len(c.visited), 1)         // one target
				is.Equal(c.visited[0].kind, c.kind) // of its own kind
				is.Equal(c.state, stateFinished)
			}
		}
	}
}

// TestBaselineViolatesGuarantees plays the same runs with faults with both versions.
// almondflow must violate no guarantee; the baseline must move flows and violate some, which
// shows that the oracle detects violations.
func TestBaselineViolatesGuarantees(t *testing.T) {
	is := is.New(t)
	failed, moved := 0, 0
	for seed := range uint64(differentialRuns) {
		is.NoErr(newFuzzRun(seededChooser(seed), core.NoDefect, false, false).play())
		f := newFuzzRun(seededChooser(seed), core.NoDefect, true, false)
		err := f.play()
		for _, c := range f.clients {
			if len(c.visited) > 1 {
				moved++
				break
			}
		}
		if err != nil {
			failed++
		}
	}
	is.True(failed > 0)
	is.True(moved > 0)
	t.Logf("the baseline violated a guarantee in %d of %d runs and moved flows in %d", failed, differentialRuns, moved)
}
