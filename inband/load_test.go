package inband

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/load"
)

func TestPoolWorkIsSummedByDomain(t *testing.T) {
	is := is.New(t)
	e := New(Options{Domain: "east", Policy: Local{}, SharesLoad: true})
	e.setTargets([]Published{
		{Target: &Target{ID: "t1", Service: "orders", Domain: "east", Slots: 2}},
		{Target: &Target{ID: "t2", Service: "orders", Domain: "east", Slots: 4}},
		{Target: &Target{ID: "t3", Service: "orders", Domain: "west", Slots: 1}},
	})
	for id, flows := range map[string]int{"t1": 3, "t2": 2, "t3": 1} {
		e.byID[id].flows = flows
		e.load.track(e.byID[id])
	}
	e.Sweep(250)
	e.SetLocalVMs(3)
	e.Sweep(500)
	is.Equal(e.poolOf("orders").domains(), []load.DomainPool{
		{ID: load.DomainPoolID{Service: "orders", Domain: "east"}, Targets: 2, Slots: 6, Work: load.Work{Flows: 15}, Age: load.ReportLifetime},
		{ID: load.DomainPoolID{Service: "orders", Domain: "west"}, Targets: 1, Slots: 1, Work: load.Work{Flows: 3}, Age: load.NewsLifetime},
	})
}
