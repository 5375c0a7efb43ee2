package entry

import "sync"

// queue passes values to another goroutine without blocking the sender. It drops values
// while it holds limit values, and is meant for values that are sent again anyway.
type queue[T any] struct {
	mu     sync.Mutex
	values []T
	limit  int
	// ready receives a value when the queue may have values to drain.
	ready chan struct{}
}

func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// push adds a value, or drops it and returns false if the queue is full.
func (q *queue[T]) push(value T) bool {
	q.mu.Lock()
	full := len(q.values) >= q.limit
	if !full {
		q.values = append(q.values, value)
	}
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return !full
}

// drain removes all values and returns them in the order in which they were added.
func (q *queue[T]) drain() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	values := q.values
	q.values = nil
	return values
}
