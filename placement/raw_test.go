package placement_test

import (
	"math"
	"math/rand/v2"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/placement"
)

// rawSource says which counts a policy sees.
type rawSource struct {
	name   string
	age    clock.Millis
	gossip bool
	lying  bool
}

var rawSources = []rawSource{
	{name: "own"},
	{name: "gossip_1s", gossip: true, age: clock.Second},
	{name: "gossip_10s", gossip: true, age: 10 * clock.Second},
	{name: "gossip_lying", gossip: true, age: clock.Second, lying: true},
}

// rawTarget is a target as one owner sees it.
type rawTarget struct {
	id     fleet.ID
	own    int64
	remote int64
}

func (r *rawTarget) Rank() fleet.ID  { return r.id }
func (r *rawTarget) Weight() float64 { return 1 }
func (r *rawTarget) Active() int64   { return r.own + r.remote }

func rawPolicy(name string) placement.Policy[*rawTarget] {
	switch name {
	case "naive":
		return placement.Naive[*rawTarget]{}
	case "hash":
		return placement.RendezvousHash[*rawTarget]{}
	case "two_choices":
		return placement.TwoChoices[*rawTarget]{}
	case "least_loaded":
		return placement.LeastLoaded[*rawTarget]{}
	default:
		return placement.BoundedLoad[*rawTarget]{Excess: 0.1}
	}
}

// rawImbalance lets 8 owners place on 14 targets by a bare policy, without domains or a
// cap on shares, and returns the worst imbalance of the last of four minutes.
func rawImbalance(policy string, source rawSource) float64 {
	const owners, hosts = 8, 14
	random := rand.New(rand.NewPCG(1, 2))
	choose := rawPolicy(policy)
	var views [owners][]*rawTarget
	for i := range views {
		for j := range hosts {
			views[i] = append(views[i], &rawTarget{id: fleet.NewID(newHost(j, 1).Name)})
		}
	}
	ends := make(map[clock.Millis][]*rawTarget)
	worst := 0.0
	for now := clock.Millis(0); now < 4*clock.Minute; now++ {
		hash := hashOf(int(now))
		mine := views[fleet.Score(hash, 1)%owners]
		target := mine[choose.Choose(hash, mine)]
		target.own++
		life := float64(shortestFlow) * math.Pow(1-random.Float64(), -1/tailShape)
		until := now + 1 + clock.Millis(min(life, float64(longestFlow)))
		ends[until] = append(ends[until], target)
		for _, ended := range ends[now] {
			ended.own--
		}
		delete(ends, now)
		if source.gossip && now%source.age == 0 {
			gossip(views[:], source.lying)
		}
		if now >= 3*clock.Minute && now%clock.Second == 0 {
			worst = max(worst, rawWorst(views[:]))
		}
	}
	return worst
}

// gossip sets the remote counts to what the other owners have now.
func gossip(views [][]*rawTarget, lying bool) {
	for j := range views[0] {
		total := int64(0)
		for _, view := range views {
			total += view[j].own
		}
		for _, view := range views {
			view[j].remote = total - view[j].own
			if lying && j == 0 {
				view[j].remote /= 2
			}
		}
	}
}

func rawWorst(views [][]*rawTarget) float64 {
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
