package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
)

// printingSink is a Sink that prints messages and events.
type printingSink struct{}

func (printingSink) Send(_ fleet.ID, m *member.Message) {
	fmt.Println("sends kind", m.Kind, "on list", m.ListVersion)
}

func (printingSink) Event(e member.Event) {
	fmt.Println(e.Kind, e.Name, e.Version)
}

func ExampleMachine() {
	peer := netip.MustParseAddrPort("127.0.0.1:7000")
	list := fleet.NewList(3, []fleet.VM{
		fleet.NewVM("kadikoy-1", "kadikoy", peer, peer, fleet.Serving),
		fleet.NewVM("besiktas-1", "besiktas", peer, peer, fleet.Serving),
	})
	other := fleet.NewID("besiktas-1")

	m := member.New(fleet.NewID("kadikoy-1"), 1, 0, rand.New(rand.NewPCG(1, 1)), printingSink{})
	m.SetList(0, list)
	m.Tick(0)
	m.Receive(10, other, &member.Message{Kind: member.Probe, ListVersion: 4})
	fmt.Println("alive", m.View().Alive(other), "voting", m.VotingLease(10).ListVersion)
	// Output:
	// version_in_force list 3
	// sends kind 1 on list 3
	// sends kind 2 on list 3
	// alive true voting 0
}

func ExampleRateLimiter() {
	limiter := member.NewRateLimiter(0, member.DefaultControlRate)
	fmt.Println(limiter.Allow(0, member.ClassRepair, 4_000))
	fmt.Println(limiter.Allow(0, member.ClassRepair, 1))
	fmt.Println(limiter.Allow(0, member.ClassVersions, 4_000))
	fmt.Println(limiter.Allow(clock.Second, member.ClassVersions, 4_000))
	// Output:
	// true
	// false
	// true
	// true
}
