package placement

import (
	"iter"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/almondflow/almondflow/flow"
)

// loadShards is the number of parts that the loads are split into. A new load copies one
// part, so that readers need no lock.
const loadShards = 256

// loadTable holds the loads by target. Reading takes no lock.
type loadTable struct {
	shards [loadShards]atomic.Pointer[map[flow.TargetID]*load]
	// writing guards changes of the shards.
	writing sync.Mutex
}

func (t *loadTable) shard(id flow.TargetID) *atomic.Pointer[map[flow.TargetID]*load] {
	return &t.shards[id%loadShards]
}

// get returns the load of a target, or nil.
func (t *loadTable) get(id flow.TargetID) *load {
	if m := t.shard(id).Load(); m != nil {
		return (*m)[id]
	}
	return nil
}

// ensure returns the load of a target and adds it where there is none.
func (t *loadTable) ensure(id flow.TargetID) *load {
	if l := t.get(id); l != nil {
		return l
	}
	t.writing.Lock()
	defer t.writing.Unlock()
	if l := t.get(id); l != nil {
		return l
	}
	l := newLoad(id)
	t.replace(id, func(m map[flow.TargetID]*load) { m[id] = l })
	return l
}

// remove takes a load without flows out. It reports false when a flow came meanwhile.
func (t *loadTable) remove(l *load) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	l.retired.Store(true)
	if l.active.Load() != 0 {
		l.retired.Store(false)
		return false
	}
	t.replace(l.id, func(m map[flow.TargetID]*load) { delete(m, l.id) })
	return true
}

// replace changes a copy of the shard of a target and puts it in place.
func (t *loadTable) replace(id flow.TargetID, change func(map[flow.TargetID]*load)) {
	m := make(map[flow.TargetID]*load)
	if old := t.shard(id).Load(); old != nil {
		m = maps.Clone(*old)
	}
	change(m)
	t.shard(id).Store(&m)
}

// all lists the loads in no particular order.
func (t *loadTable) all() iter.Seq[*load] {
	return func(yield func(*load) bool) {
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
