package placement

import (
	"iter"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/almondflow/almondflow/flow"
)

// loadShards is the number of shards that the loads are split into. Adding or removing a
// load copies its shard, so that readers need no lock.
const loadShards = 256

// loadTable holds the load of each target. Reads take no lock.
type loadTable struct {
	shards [loadShards]atomic.Pointer[map[flow.TargetID]*targetLoad]
	// writing serializes changes of the shards.
	writing sync.Mutex
}

func (t *loadTable) shard(id flow.TargetID) *atomic.Pointer[map[flow.TargetID]*targetLoad] {
	return &t.shards[id%loadShards]
}

// get returns the load of a target, or nil if there is none.
func (t *loadTable) get(id flow.TargetID) *targetLoad {
	if m := t.shard(id).Load(); m != nil {
		return (*m)[id]
	}
	return nil
}

// ensure returns the load of a target. It adds one if there is none.
func (t *loadTable) ensure(id flow.TargetID) *targetLoad {
	if l := t.get(id); l != nil {
		return l
	}
	t.writing.Lock()
	defer t.writing.Unlock()
	if l := t.get(id); l != nil {
		return l
	}
	l := newTargetLoad(id)
	t.replace(id, func(m map[flow.TargetID]*targetLoad) { m[id] = l })
	return l
}

// remove retires a load and removes it from the table. It returns false if the load has
// flows.
func (t *loadTable) remove(l *targetLoad) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	l.retired.Store(true)
	if l.active.Load() != 0 {
		l.retired.Store(false)
		return false
	}
	t.replace(l.id, func(m map[flow.TargetID]*targetLoad) { delete(m, l.id) })
	return true
}

// replace applies change to a copy of the target's shard and stores the copy.
func (t *loadTable) replace(id flow.TargetID, change func(map[flow.TargetID]*targetLoad)) {
	m := make(map[flow.TargetID]*targetLoad)
	if shard := t.shard(id).Load(); shard != nil {
		m = maps.Clone(*shard)
	}
	change(m)
	t.shard(id).Store(&m)
}

// all returns an iterator over the loads in no particular order.
func (t *loadTable) all() iter.Seq[*targetLoad] {
	return func(yield func(*targetLoad) bool) {
		for i := range t.shards {
			m := t.shards[i].Load()
			if m == nil {
				continue
			}
			for _, l := range *m {
				if !yield(l) {
					return
				}
			}
		}
	}
}
