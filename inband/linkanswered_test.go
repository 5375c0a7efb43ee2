package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/inband"
)

// If the only known VM of a domain is killed just when two targets there become unresponsive, the domain looks
// partitioned. A third target still serves; its flows must continue (kinarez-ist hunt-876d-3: three open flows were
// reset), even if they time out themselves, unless a probe shows that this VM does not reach it either.
func TestFlowInAPartitionedDomainContinuesWhileItsTargetAnswers(t *testing.T) {
	for _, outcome := range []inband.ProbeOutcome{inband.Answered, inband.Inconclusive, inband.Silent} {
		t.Run(string(outcome), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "b"), target("i-2", "b"), target("i-3", "b"))
			tags := map[inband.Tag]int{}
			for client := range 3 {
				tags[openFlow(e, client, feedAddress)] = client
			}
			is.Equal(len(tags), 3)
			for _, id := range []string{"i-1", "i-2"} {
				client := tags[inband.TagOf(id)]
				e.Handle(1000, data(client, feedAddress, inband.TagOf(id), 101, 500))
				e.Handle(1200, data(client, feedAddress, inband.TagOf(id), 101, 500))
			}
			e.MarkProbed(1200, "b", 2)
			probeSuspects(e, 1200, inband.Silent)
			is.True(e.IsPartitioned(1330, "b"))
			client, tag := tags[inband.TagOf("i-3")], inband.TagOf("i-3")
			is.Equal(e.Handle(1330, data(client, feedAddress, tag, 101, 500)).Action, inband.Forward)
			is.Equal(len(e.EndFlowsOfLostTargets(1500)), 2) // those that timed out
			is.Equal(e.Handle(1530, data(client, feedAddress, tag, 101, 500)).Action, inband.Forward)
			is.Equal(probeSuspects(e, 1530, outcome), 1)
			is.Equal(e.Handle(1930, data(client, feedAddress, tag, 101, 500)).Action == inband.Reset, outcome == inband.Silent)
		})
	}
}
