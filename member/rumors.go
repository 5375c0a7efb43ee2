package member

import (
	"slices"

	"github.com/almondflow/almondflow/fleet"
)

// maximumRumors bounds the updates that wait to be passed on. When more members change
// at once, as in a partition, every daemon finds the rest by its own probes.
const maximumRumors = 128

type rumor struct {
	update Update
	sent   int
}

// rumors are the updates to piggyback.
type rumors struct {
	items []rumor
}

// add queues an update in place of an older one about the same member.
func (r *rumors) add(u Update) {
	r.drop(func(id fleet.ID) bool { return id == u.ID })
	if len(r.items) == maximumRumors {
		r.items = slices.Delete(r.items, r.mostSent(), r.mostSent()+1)
	}
	r.items = append(r.items, rumor{update: u})
}

func (r *rumors) drop(gone func(fleet.ID) bool) {
	r.items = slices.DeleteFunc(r.items, func(i rumor) bool { return gone(i.update.ID) })
}

// waiting returns how many updates pick would return.
func (r *rumors) waiting(most int) int { return min(most, len(r.items)) }

// pick returns the n updates sent least so far and drops those sent often enough.
func (r *rumors) pick(n, transmissions int) []Update {
	picked := make([]Update, 0, n)
	for i := range n {
		least := i
		for j := i + 1; j < len(r.items); j++ {
			if r.items[j].sent < r.items[least].sent {
				least = j
			}
		}
		r.items[i], r.items[least] = r.items[least], r.items[i]
		r.items[i].sent++
		picked = append(picked, r.items[i].update)
	}
	r.items = slices.DeleteFunc(r.items, func(i rumor) bool { return i.sent >= transmissions })
	return picked
}

func (r *rumors) mostSent() int {
	most := 0
	for i := range r.items {
		if r.items[i].sent > r.items[most].sent {
			most = i
		}
	}
	return most
}
