package entry

import "sync"

// queue passes values to the control goroutine without blocking the sender. It drops
// values above its limit, which is for messages that are sent again anyhow.
type queue[T any] struct {
	mu     sync.Mutex
	values []T
	limit  int
	ready  chan struct{}
}

func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// push adds a value and reports false when the queue is full.
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

// drain returns all values in the order in which they came.
func (q *queue[T]) drain() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	values := q.values
	q.values = nil
	return values
}
