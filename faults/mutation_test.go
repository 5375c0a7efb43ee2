package faults

import (
	"testing"

	"github.com/almondflow/almondflow/core"
)

// mutations are the deliberate defects of a Node, which the oracle must notice.
var mutations = []struct {
	name     string
	breakage core.Breakage
	first    uint64 // seed at which the search begins
}{
	{"no_copies", core.BreakCopies, 40},
	{"no_quarantine", core.BreakQuarantine, 60},
	{"majority_of_one", core.BreakMajority, 550},
	{"reset_on_unknown_flow", core.BreakUnknownFlow, 0},
	{"version_may_fall", core.BreakVersions, 0},
	{"retry_after_payload", core.BreakRetry, 0},
	{"no_lease", core.BreakLease, 0},
}

// mutationSeeds bounds the runs in which a defect must show. docs/MUTATIONS.md lists what
// a search from seed 0 finds.
const mutationSeeds = 300

func TestMutationsAreCaught(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			found := search(m.first, mutationSeeds, 1, m.breakage)
			if len(found) == 0 {
				t.Fatalf("not noticed in %d runs from seed %d", mutationSeeds, m.first)
			}
			t.Logf("seed %d: %v", found[0].seed, found[0].err)
		})
	}
}
