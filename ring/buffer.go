// Package ring keeps the newest of many items.
package ring

// Buffer holds the newest items. The zero value is empty. It is not safe for concurrent use.
type Buffer[T any] struct {
	items []T
	next  int // index of the oldest item once the buffer is full
}

// Add adds an item, which replaces the oldest one if the buffer holds size items. The size is at least 1, and the
// same at each call.
func (b *Buffer[T]) Add(item T, size int) {
	if len(b.items) < size {
		b.items = append(b.items, item)
		return
	}
	b.items[b.next] = item
	b.next = (b.next + 1) % size
}

// All returns the items from oldest to newest.
func (b *Buffer[T]) All() []T {
	all := make([]T, 0, len(b.items))
	all = append(all, b.items[b.next:]...)
	return append(all, b.items[:b.next]...)
}
