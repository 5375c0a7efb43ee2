// Package flowtable holds per-flow values in memory that the garbage collector need not
// scan and that grows in pages, so that a table of millions of flows neither pauses the
// process nor doubles its memory when it grows.
package flowtable

import "github.com/almondflow/almondflow/flow"

// pageSlots is the number of slots allocated at a time.
const pageSlots = 1024

// minimumIndex is the smallest number of index cells.
const minimumIndex = 64

// The index grows when it is more than loadNumerator/loadDenominator full.
const (
	loadNumerator   = 3
	loadDenominator = 4
)

type slot[V any] struct {
	hash  uint64
	value V
	key   flow.Key
	used  bool
}

// Table maps flow keys to values. Callers pass the hash of the key, which they have at
// hand anyway. A Table is not safe for concurrent use.
type Table[V any] struct {
	index  []uint32 // slot number + 1, open addressing with linear probing
	pages  [][]slot[V]
	free   []uint32
	length int
	top    uint32 // slots ever used
}

// New returns an empty table.
func New[V any]() *Table[V] {
	return &Table[V]{index: make([]uint32, minimumIndex)}
}

// Len returns the number of flows.
func (t *Table[V]) Len() int { return t.length }

// Slots returns the number of slots that Sweep goes through, used or free.
func (t *Table[V]) Slots() int { return int(t.top) }

// Get returns the value of a key, which stays valid until the next Put or Delete.
func (t *Table[V]) Get(hash uint64, key *flow.Key) *V {
	_, at, ok := t.find(hash, key)
	if !ok {
		return nil
	}
	return &t.slot(at).value
}

// Put returns the value of a key, adding a zero value where there is none. It reports
// whether the value was added.
func (t *Table[V]) Put(hash uint64, key *flow.Key) (*V, bool) {
	cell, at, ok := t.find(hash, key)
	if ok {
		return &t.slot(at).value, false
	}
	if (t.length+1)*loadDenominator > len(t.index)*loadNumerator {
		t.grow()
		cell, _, _ = t.find(hash, key)
	}
	at = t.allocate()
	s := t.slot(at)
	*s = slot[V]{hash: hash, key: *key, used: true}
	t.index[cell] = at + 1
	t.length++
	return &s.value, true
}

// Delete removes a key. It reports whether the key was there.
func (t *Table[V]) Delete(hash uint64, key *flow.Key) bool {
	cell, at, ok := t.find(hash, key)
	if !ok {
		return false
	}
	t.removeCell(cell)
	*t.slot(at) = slot[V]{}
	t.free = append(t.free, at)
	t.length--
	return true
}

// Sweep visits up to count slots from a position and returns the position to go on at.
// The visitor returns false to delete the flow. It must not change the table otherwise.
func (t *Table[V]) Sweep(from, count int, visit func(hash uint64, key *flow.Key, value *V) bool) int {
	if t.top == 0 {
		return 0
	}
	at := uint32(from) % t.top
	for range min(count, int(t.top)) {
		s := t.slot(at)
		if s.used && !visit(s.hash, &s.key, &s.value) {
			key := s.key
			t.Delete(s.hash, &key)
		}
		at = (at + 1) % t.top
	}
	return int(at)
}

func (t *Table[V]) slot(at uint32) *slot[V] {
	return &t.pages[at/pageSlots][at%pageSlots]
}

func (t *Table[V]) allocate() uint32 {
	if n := len(t.free); n > 0 {
		at := t.free[n-1]
		t.free = t.free[:n-1]
		return at
	}
	at := t.top
	if at%pageSlots == 0 {
		t.pages = append(t.pages, make([]slot[V], pageSlots))
	}
	t.top++
	return at
}

// find returns the cell of a key and its slot, or the empty cell where it would go.
func (t *Table[V]) find(hash uint64, key *flow.Key) (cell int, at uint32, ok bool) {
	mask := len(t.index) - 1
	cell = int(hash) & mask
	for t.index[cell] != 0 {
		at = t.index[cell] - 1
		if s := t.slot(at); s.hash == hash && s.key == *key {
			return cell, at, true
		}
		cell = (cell + 1) & mask
	}
	return cell, 0, false
}

func (t *Table[V]) grow() {
	old := t.index
	t.index = make([]uint32, 2*len(old))
	mask := len(t.index) - 1
	for _, entry := range old {
		if entry == 0 {
			continue
		}
		cell := int(t.slot(entry-1).hash) & mask
		for t.index[cell] != 0 {
			cell = (cell + 1) & mask
		}
		t.index[cell] = entry
	}
}

// removeCell empties a cell and moves later cells of its run back, so that lookups need
// no markers for deleted entries.
func (t *Table[V]) removeCell(cell int) {
	mask := len(t.index) - 1
	hole := cell
	for next := (cell + 1) & mask; t.index[next] != 0; next = (next + 1) & mask {
		home := int(t.slot(t.index[next]-1).hash) & mask
		if (next-home)&mask >= (next-hole)&mask {
			t.index[hole] = t.index[next]
			hole = next
		}
	}
	t.index[hole] = 0
}
