// Package flowtable implements a hash table of per-flow values. The garbage collector need
// not scan its slots if the values contain no pointers. The slots are allocated in pages,
// so that a table of millions of flows neither pauses the process nor doubles its memory
// when it grows.
package flowtable

import "github.com/almondflow/almondflow/flow"

// pageSlots is the number of slots per page.
const pageSlots = 1024

// minIndexCells is the initial number of index cells. It must be a power of two.
const minIndexCells = 64

// Maximum load factor of the index, above which it doubles in size.
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

// Table maps flow keys to values. Callers pass the hash of the key, because they have
// already computed it for other purposes. A Table is not safe for concurrent use.
type Table[V any] struct {
	index     []uint32 // slot number + 1, or 0 if empty; open addressing with linear probing
	pages     [][]slot[V]
	freeSlots []uint32
	length    int
	slotCount uint32 // number of slots ever used
}

// New returns an empty table.
func New[V any]() *Table[V] {
	return &Table[V]{index: make([]uint32, minIndexCells)}
}

// Len returns the number of flows.
func (t *Table[V]) Len() int { return t.length }

// Slots returns the number of slots, used or free, that a full sweep visits.
func (t *Table[V]) Slots() int { return int(t.slotCount) }

// Get returns the value of a key, or nil if there is none. The pointer is valid until the
// next Put or Delete.
func (t *Table[V]) Get(hash uint64, key *flow.Key) *V {
	_, number, ok := t.find(hash, key)
	if !ok {
		return nil
	}
	return &t.slot(number).value
}

// Put returns the value of a key, adding a zero value if there is none. It reports whether
// the value was added.
func (t *Table[V]) Put(hash uint64, key *flow.Key) (*V, bool) {
	cell, number, ok := t.find(hash, key)
	if ok {
		return &t.slot(number).value, false
	}
	if (t.length+1)*loadDenominator > len(t.index)*loadNumerator {
		t.grow()
		cell, _, _ = t.find(hash, key)
	}
	number = t.allocate()
	s := t.slot(number)
	*s = slot[V]{hash: hash, key: *key, used: true}
	t.index[cell] = number + 1
	t.length++
	return &s.value, true
}

// Delete removes a key. It reports whether the key was present.
func (t *Table[V]) Delete(hash uint64, key *flow.Key) bool {
	cell, number, ok := t.find(hash, key)
	if !ok {
		return false
	}
	t.removeCell(cell)
	*t.slot(number) = slot[V]{}
	t.freeSlots = append(t.freeSlots, number)
	t.length--
	return true
}

// Sweep visits up to count slots, starting at the position from, and returns the position
// to continue from, which is 0 after the last slot. visit is called for each flow in these
// slots. It returns false to delete the flow and must not modify the table otherwise.
func (t *Table[V]) Sweep(from, count int, visit func(hash uint64, key *flow.Key, value *V) bool) int {
	if t.slotCount == 0 {
		return 0
	}
	number := uint32(from) % t.slotCount
	for range min(count, int(t.slotCount)) {
		s := t.slot(number)
		if s.used && !visit(s.hash, &s.key, &s.value) {
			key := s.key
			t.Delete(s.hash, &key)
		}
		number = (number + 1) % t.slotCount
	}
	return int(number)
}

func (t *Table[V]) slot(number uint32) *slot[V] {
	return &t.pages[number/pageSlots][number%pageSlots]
}

func (t *Table[V]) allocate() uint32 {
	if n := len(t.freeSlots); n > 0 {
		number := t.freeSlots[n-1]
		t.freeSlots = t.freeSlots[:n-1]
		return number
	}
	number := t.slotCount
	if number%pageSlots == 0 {
		t.pages = append(t.pages, make([]slot[V], pageSlots))
	}
	t.slotCount++
	return number
}

// find returns the cell and the slot number of a key, or the empty cell for inserting it.
func (t *Table[V]) find(hash uint64, key *flow.Key) (cell int, number uint32, ok bool) {
	mask := len(t.index) - 1
	cell = int(hash) & mask
	for t.index[cell] != 0 {
		number = t.index[cell] - 1
		if s := t.slot(number); s.hash == hash && s.key == *key {
			return cell, number, true
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

// removeCell empties a cell and shifts back later cells of the same probe run, so that
// deletion needs no tombstones.
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
