package placement_test

import (
	"math"
	"math/rand/v2"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/placement"
)

// countSource describes the flow counts that a policy sees.
type countSource struct {
	name         string
	age          clock.Millis
	gossip       bool
	misreporting bool
}

var countSources = []countSource{
	{name: "own"},
	{name: "gossip_1s", gossip: true, age: clock.Second},
	{name: "gossip_10s", gossip: true, age: 10 * clock.Second},
	{name: "gossip_lying", gossip: true, age: clock.Second, misreporting: true},
}

// ownerView is a target as one owner sees it.
type ownerView struct {
	id     fleet.ID
	own    int64
	remote int64
}

func (v *ownerView) HashID() fleet.ID { return v.id }
func (v *ownerView) Weight() float64  { return 1 }
func (v *ownerView) Active() int64    { return v.own + v.remote }

func newPolicy(name string) placement.Policy[*ownerView] {
	switch name {
	case "naive":
		return placement.ModuloHash[*ownerView]{}
	case "hash":
		return placement.RendezvousHash[*ownerView]{}
	case "two_choices":
		return placement.TwoChoices[*ownerView]{}
	case "least_loaded":
		return placement.LeastLoaded[*ownerView]{}
	default:
		return placement.BoundedLoad[*ownerView]{Excess: 0.1}
	}
}

// policyImbalance simulates 8 owners that place flows on 14 targets with a policy alone,
// without domains or limits of shares, for four minutes. It returns the largest imbalance
// in the last minute.
func policyImbalance(policy string, source countSource) float64 {
	const owners, hosts = 8, 14
	random := rand.New(rand.NewPCG(1, 2))
	chooser := newPolicy(policy)
	var views [owners][]*ownerView
	for i := range views {
		for j := range hosts {
			views[i] = append(views[i], &ownerView{id: fleet.NewID(newHost(j, 1).Name)})
		}
	}
	endings := make(map[clock.Millis][]*ownerView)
	largest := 0.0
	for now := clock.Millis(0); now < 4*clock.Minute; now++ {
		hash := flowHash(int(now))
		view := views[fleet.RendezvousScore(hash, 1)%owners]
		target := view[chooser.Choose(hash, view)]
		target.own++
		lifetime := float64(shortestFlow) * math.Pow(1-random.Float64(), -1/tailShape)
		until := now + 1 + clock.Millis(min(lifetime, float64(longestFlow)))
		endings[until] = append(endings[until], target)
		for _, ended := range endings[now] {
			ended.own--
		}
		delete(endings, now)
		if source.gossip && now%source.age == 0 {
			gossip(views[:], source.misreporting)
		}
		if now >= 3*clock.Minute && now%clock.Second == 0 {
			largest = max(largest, viewImbalance(views[:]))
		}
	}
	return largest
}

// gossip sets the remote counts to the current counts of the other owners. If misreporting
// is set, half of the first target's flows are reported.
func gossip(views [][]*ownerView, misreporting bool) {
	for j := range views[0] {
		total := int64(0)
		for _, view := range views {
			total += view[j].own
		}
		for _, view := range views {
			view[j].remote = total - view[j].own
			if misreporting && j == 0 {
				view[j].remote /= 2
			}
		}
	}
}

func viewImbalance(views [][]*ownerView) float64 {
	largest, all := 0.0, 0.0
	for j := range views[0] {
		total := 0.0
		for _, view := range views {
			total += float64(view[j].own)
		}
		largest = max(largest, total)
		all += total
	}
	return largest * float64(len(views[0])) / all
}
