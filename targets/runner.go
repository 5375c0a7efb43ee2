package targets

import (
	"context"
	"errors"
	"sync"

	"github.com/almondflow/almondflow/flow"
)

// maxConcurrentProbes is the largest number of concurrent probes. Further probes are
// skipped and do not affect the health of their targets.
const maxConcurrentProbes = 64

// Outcome holds a probed target and whether it was up.
type Outcome struct {
	id  flow.TargetID
	err error
}

// ID returns the ID of the target.
func (o *Outcome) ID() flow.TargetID { return o.id }

// Passed reports whether the target was up.
func (o *Outcome) Passed() bool { return o.err == nil }

// Err returns the reason why the target was not up, or nil.
func (o *Outcome) Err() error { return o.err }

// Runner runs probes in the background and sends their outcomes to one channel.
type Runner struct {
	prober   Prober
	outcomes chan Outcome
	slots    chan struct{}
	running  sync.WaitGroup
}

// NewRunner returns a Runner that probes targets with a Prober. It runs up to 64 probes at
// once.
func NewRunner(prober Prober) *Runner {
	return &Runner{
		prober:   prober,
		outcomes: make(chan Outcome, maxConcurrentProbes),
		slots:    make(chan struct{}, maxConcurrentProbes),
	}
}

// Outcomes returns the channel of outcomes. Targets that cannot be probed have no outcome.
func (r *Runner) Outcomes() <-chan Outcome { return r.outcomes }

// Start starts the probes without waiting for them. It skips those that exceed the limit
// of concurrent probes and returns the number of the others.
func (r *Runner) Start(ctx context.Context, probes []Probe) int {
	started := 0
	for _, p := range probes {
		select {
		case r.slots <- struct{}{}:
			started++
			r.running.Go(func() { r.run(ctx, p) })
		default:
		}
	}
	return started
}

// Wait waits until no probe is running. The context of Start must have ended, or the
// outcomes must still be received, because probes block until their outcome is.
func (r *Runner) Wait() { r.running.Wait() }

func (r *Runner) run(ctx context.Context, p Probe) {
	defer func() { <-r.slots }()
	probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := r.prober.Probe(probeContext, p)
	if errors.Is(err, ErrNotProbed) || ctx.Err() != nil {
		return
	}
	select {
	case r.outcomes <- Outcome{id: p.id, err: err}:
	case <-ctx.Done():
	}
}
