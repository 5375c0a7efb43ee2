package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/samber/oops"

	"github.com/almondflow/almondflow/result"
)

// Options say what Run shows.
type Options struct {
	// Deployment is one of DeploymentNames.
	Deployment string
	// Seed determines the random choices of the demo. Goroutines still run in any order.
	Seed uint64
	// Duration is the length of the load.
	Duration time.Duration
	// Progress takes one line for each thing that happens.
	Progress io.Writer
}

// settleSpan is how long feeds are watched after the last fault.
const settleSpan = feedSilence + time.Second

// Run runs the demo and returns what it counted. Errors mean that the demo could not be
// run to its end, not that a promise was broken.
func Run(ctx context.Context, options Options) (*Report, error) {
	d, err := findDeployment(options.Deployment)
	if err != nil {
		return nil, oops.Code(result.Usage).Wrap(err)
	}
	log := newProgress(options.Progress)
	logger := slog.New(slog.NewTextHandler(options.Progress, &slog.HandlerOptions{Level: slog.LevelError}))
	w, err := newWorld(ctx, d, options.Seed, log, logger)
	if err != nil {
		return nil, fmt.Errorf("stand-ins: %w", err)
	}
	defer w.close()
	s := &vms{world: w}
	w.vms = s
	defer s.stopAll()
	if err = s.begin(ctx); err != nil {
		return nil, err
	}
	return play(ctx, w, s, options.Duration)
}

// begin starts the entry VMs and waits until they do all that is asked of them.
func (s *vms) begin(ctx context.Context) error {
	if _, err := s.world.editTables(func(*tablesDocument) {}); err != nil {
		return err
	}
	if err := s.startAll(ctx); err != nil {
		return fmt.Errorf("entry VMs: %w", err)
	}
	list, err := s.publish()
	if err != nil {
		return err
	}
	if _, err = s.converge(ctx, versions{tables: s.world.tables.Version, list: list}); err != nil {
		return err
	}
	s.spray()
	s.world.log.printf("%d entry VMs, %d targets; waiting until flows that may not be repeated are placed",
		len(s.live()), len(s.world.targets))
	return s.awaitVoting(ctx)
}

// play runs load and script side by side and counts.
func play(ctx context.Context, w *world, s *vms, duration time.Duration) (*Report, error) {
	w.log.printf("the load starts")
	feedContext, endFeeds := context.WithCancel(ctx)
	defer endFeeds()
	l := newLoad(w)
	b := &balance{excluded: make(map[string]bool)}
	story := &script{world: w, vms: s, balance: b}
	told := make(chan error, 1)
	go func() { told <- story.run(ctx, duration) }()
	sampling, endSampling := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		b.run(sampling, w)
	}()
	l.run(ctx, feedContext, duration)
	err := <-told
	endSampling()
	<-sampled
	if err = errors.Join(err, ctx.Err()); err != nil {
		return nil, err
	}
	sleep(ctx, settleSpan)
	report := l.report()
	endFeeds()
	l.feeds.running.Wait()
	report.lateWork = story.lateWork()
	report.Imbalance = b.result()
	report.ControlBytesPerSecondPerVM = s.controlRate()
	report.ConvergeMilliseconds = story.longest.Milliseconds()
	report.judge()
	w.log.printf("connections in the worst sample, leaving and joining targets in brackets: %s", b.describe())
	w.log.printf("the load has ended")
	return report, nil
}

// report counts what the load and its targets have seen.
func (l *load) report() *Report {
	run, doubled := l.world.ledger.Count()
	r := &Report{
		FeedsOpen:    int(l.feeds.opened.Load()),
		FeedsBroken:  int(l.feeds.broken.Load()),
		HoldsSent:    l.holds.sent,
		HoldsRun:     run,
		HoldsDoubled: doubled,
		HoldsRefused: len(l.holds.refused),
		UploadsSent:  int(l.uploads.sent.Load()),
		UploadsWhole: int(l.uploads.whole.Load()),
		Misrouted:    l.world.fabric.Misrouted() + l.world.crossed.Load(),
	}
	for _, id := range l.holds.refused {
		if l.world.ledger.Runs(id) > 0 {
			r.HoldsRefusedButRun++
		}
	}
	return r
}
