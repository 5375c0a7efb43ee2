package targets

import (
	"context"
	"errors"
	"sync"

	"github.com/almondflow/almondflow/flow"
)

// probesAtOnce is the number of probes under way at most. Probes beyond it are skipped,
// which counts neither for nor against a target.
const probesAtOnce = 64

// Outcome is the end of a probe.
type Outcome struct {
	id  flow.TargetID
	err error
}

// ID returns the target.
func (o *Outcome) ID() flow.TargetID { return o.id }

// Passed reports whether the target was up.
func (o *Outcome) Passed() bool { return o.err == nil }

// Err returns why the target was not up.
func (o *Outcome) Err() error { return o.err }

// Runner runs probes in the background and hands their outcomes to one reader.
type Runner struct {
	prober   Prober
	outcomes chan Outcome
	slots    chan struct{}
	running  sync.WaitGroup
}

// NewRunner returns a Runner that uses the prober.
func NewRunner(prober Prober) *Runner {
	return &Runner{
		prober:   prober,
		outcomes: make(chan Outcome, probesAtOnce),
		slots:    make(chan struct{}, probesAtOnce),
	}
}

// Outcomes returns the channel of outcomes. Targets that cannot be probed have none.
func (r *Runner) Outcomes() <-chan Outcome { return r.outcomes }

// Start begins the probes and returns how many of them there was room for. It does not
// wait for them.
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

// Wait returns once no probe is under way. The context of Start must have ended, or the
// outcomes must still be read.
func (r *Runner) Wait() { r.running.Wait() }

func (r *Runner) run(ctx context.Context, p Probe) {
	defer func() { <-r.slots }()
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := r.prober.Probe(limited, p)
	if errors.Is(err, ErrNotProbed) || ctx.Err() != nil {
		return
	}
	select {
	case r.outcomes <- Outcome{id: p.id, err: err}:
	case <-ctx.Done():
	}
}
