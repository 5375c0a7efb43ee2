package member

import (
	"slices"

	"github.com/almondflow/almondflow/fleet"
)

// maxQueuedUpdates limits the updates that wait to be sent. If more members change at
// once, as in a partition, each daemon detects the remaining changes by its own probes.
const maxQueuedUpdates = 128

type queuedUpdate struct {
	update Update
	sent   int
}

// updateQueue holds the updates to piggyback on messages.
type updateQueue struct {
	items []queuedUpdate
}

// add queues an update and replaces an older one about the same member. If the queue is
// full, it drops the update that was sent most often.
func (q *updateQueue) add(u Update) {
	q.removeIf(func(id fleet.ID) bool { return id == u.ID })
	if len(q.items) == maxQueuedUpdates {
		q.items = slices.Delete(q.items, q.indexOfMostSent(), q.indexOfMostSent()+1)
	}
	q.items = append(q.items, queuedUpdate{update: u})
}

func (q *updateQueue) removeIf(matches func(fleet.ID) bool) {
	q.items = slices.DeleteFunc(q.items, func(u queuedUpdate) bool { return matches(u.update.ID) })
}

// available returns the number of queued updates, at most limit.
func (q *updateQueue) available(limit int) int { return min(limit, len(q.items)) }

// takeLeastSent returns the n updates sent the fewest times and drops those that have
// been sent maxTransmissions times.
func (q *updateQueue) takeLeastSent(n, maxTransmissions int) []Update {
	taken := make([]Update, 0, n)
	for i := range n {
		least := i
		for j := i + 1; j < len(q.items); j++ {
			if q.items[j].sent < q.items[least].sent {
				least = j
			}
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		q.items[i].sent++
		taken = append(taken, q.items[i].update)
	}
	q.items = slices.DeleteFunc(q.items, func(u queuedUpdate) bool { return u.sent >= maxTransmissions })
	return taken
}

func (q *updateQueue) indexOfMostSent() int {
	index := 0
	for i := range q.items {
		if q.items[i].sent > q.items[index].sent {
			index = i
		}
	}
	return index
}
