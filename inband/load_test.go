package inband

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/load"
)

func TestPoolWorkIsSummedByDomain(t *testing.T) {
	is := is.New(t)
	p := &pool{}
	for _, b := range []*Backend{
		{target: &Target{ID: "t1", Service: "orders", Domain: "east", Slots: 2}, busy: 1, flows: 3},
		{target: &Target{ID: "t2", Service: "orders", Domain: "east", Slots: 4}, busy: 2, flows: 2},
		{target: &Target{ID: "t3", Service: "orders", Domain: "west", Slots: 1}, flows: 1},
	} {
		p.add(b, "east")
	}
	is.Equal(p.domains(), []load.Pool{
		{ID: load.PoolID{Service: "orders", Domain: "east"}, Targets: 2, Slots: 6, Work: load.Work{Busy: 3, Flows: 5}},
		{ID: load.PoolID{Service: "orders", Domain: "west"}, Targets: 1, Slots: 1, Work: load.Work{Flows: 1}},
	})
}
