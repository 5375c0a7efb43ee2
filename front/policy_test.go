package front

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/inband"
)

// Only deployments whose settings ask for it place new flows by shared load.
func TestOnlyTheRuleTurnsSharedPlacementOn(t *testing.T) {
	tests := []struct {
		name     string
		policy   string
		parts    Parts
		expected inband.Policy
	}{
		{"load is not shared", policyLocal, Parts{}, inband.Local{}},
		{"another part is on", policyLocal, Parts{RefusesByUrgency: true}, inband.Local{}},
		{"load is shared", policyLocal, Parts{SharesLoad: true}, inband.Shared{}},
		{"the baseline stays", policyNaive, Parts{SharesLoad: true}, inband.Naive{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Settings{Policy: tt.policy}
			is.New(t).Equal(s.policy(tt.parts), tt.expected)
		})
	}
}
