package experiment_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/experiment"
	"github.com/almondflow/almondflow/inband"
)

// TestSharedServesAsWellAsLocalWithoutNews guards against placement by shared load that serves callers worse than placement by
// own counts while no VM hears of others, under each pattern. The tolerance is that of TestPatterns.
func TestSharedServesAsWellAsLocalWithoutNews(t *testing.T) {
	const noise = 0.002
	for _, pattern := range experiment.Patterns() {
		t.Run(pattern.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			gain := 0.0
			for seed := range uint64(seeds) {
				local := run(pattern, "local", seed)
				shared := experiment.Run(experiment.DefaultSize(), pattern, "shared", inband.Shared{}, seed)
				is.Equal(shared.UnexplainedResets, 0)
				gain += (shared.Credit - local.Credit) / seeds
			}
			is.True(gain >= -noise)
		})
	}
}
