package demo

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/almondflow/almondflow/standin"
)

// balance samples how evenly the targets of a pool are used.
type balance struct {
	mu    sync.Mutex
	worst float64
	// uses is the worst sample.
	uses []use
	// excluded targets are leaving or have joined only recently.
	excluded map[string]bool
}

const balanceInterval = 500 * time.Millisecond

// fewestConnections is the mean of connections below which a ratio says nothing.
const fewestConnections = 5

func (b *balance) exclude(name string, excluded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excluded[name] = excluded
}

// use is the number of open connections of one target.
type use struct {
	name        string
	connections int64
}

// sample takes the open connections of one pool's targets, which all have weight 1.
func (b *balance) sample(targets []*standin.Target, pool string) {
	var uses []use
	for _, t := range targets {
		if t.Pool() == pool {
			uses = append(uses, use{t.Name(), t.Connections()})
		}
	}
	b.add(uses)
}

func (b *balance) add(uses []use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var largest, total, count int64
	for _, u := range uses {
		if b.excluded[u.name] {
			continue
		}
		largest = max(largest, u.connections)
		total += u.connections
		count++
	}
	if count == 0 || total < count*fewestConnections {
		return
	}
	if ratio := float64(largest*count) / float64(total); ratio > b.worst {
		b.worst = ratio
		b.uses = uses
	}
}

// describe returns the connections of the targets in the worst sample.
func (b *balance) describe() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts := make([]string, 0, len(b.uses))
	for _, u := range b.uses {
		part := strconv.FormatInt(u.connections, 10)
		if b.excluded[u.name] {
			part = "(" + part + ")"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " ")
}

func (b *balance) result() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.worst
}

// run samples until ctx ends.
func (b *balance) run(ctx context.Context, w *world) {
	for sleep(ctx, balanceInterval) {
		w.mu.RLock()
		targets := slices.Clone(w.targets)
		w.mu.RUnlock()
		b.sample(targets, w.deployment.booking.pool)
	}
}
