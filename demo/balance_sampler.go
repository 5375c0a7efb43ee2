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

// balanceSampler samples how evenly connections are spread over the targets of a pool.
type balanceSampler struct {
	mu         sync.Mutex
	worstRatio float64 // largest number of connections over the mean
	// worstSample holds the connections of all targets when worstRatio was sampled.
	worstSample []targetConnections
	// excluded names targets that are leaving or joined only recently.
	excluded map[string]bool
}

const sampleInterval = 500 * time.Millisecond

// minMeanConnections is the mean number of connections below which a ratio is not significant.
const minMeanConnections = 5

// exclude sets whether samples leave out a target.
func (b *balanceSampler) exclude(name string, excluded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excluded[name] = excluded
}

// targetConnections is the number of open connections of a target.
type targetConnections struct {
	name        string
	connections int64
}

// sample adds a sample of the open connections to a pool's targets, which all have weight 1.
func (b *balanceSampler) sample(targets []*standin.Target, pool string) {
	var counts []targetConnections
	for _, t := range targets {
		if t.Pool() == pool {
			counts = append(counts, targetConnections{t.Name(), t.Connections()})
		}
	}
	b.addSample(counts)
}

// addSample keeps a sample if it is less balanced than all before.
func (b *balanceSampler) addSample(counts []targetConnections) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var largest, total, count int64
	for _, c := range counts {
		if b.excluded[c.name] {
			continue
		}
		largest = max(largest, c.connections)
		total += c.connections
		count++
	}
	if count == 0 || total < count*minMeanConnections {
		return
	}
	if ratio := float64(largest*count) / float64(total); ratio > b.worstRatio {
		b.worstRatio = ratio
		b.worstSample = counts
	}
}

// describe lists the connections in the worst sample, with excluded targets in brackets.
func (b *balanceSampler) describe() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts := make([]string, 0, len(b.worstSample))
	for _, c := range b.worstSample {
		part := strconv.FormatInt(c.connections, 10)
		if b.excluded[c.name] {
			part = "(" + part + ")"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " ")
}

// imbalance returns the largest number of connections over the mean in the worst sample.
func (b *balanceSampler) imbalance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.worstRatio
}

// run samples the booking pool every sampleInterval until ctx is done.
func (b *balanceSampler) run(ctx context.Context, e *environment) {
	for sleep(ctx, sampleInterval) {
		e.mu.RLock()
		targets := slices.Clone(e.targets)
		e.mu.RUnlock()
		b.sample(targets, e.deployment.booking.pool)
	}
}
