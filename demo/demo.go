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

// Options holds the settings of Run.
type Options struct {
	// Deployment is a name returned by DeploymentNames.
	Deployment string
	// Seed determines the random choices of the demo. The order of goroutines still varies.
	Seed uint64
	// Duration is how long clients generate load.
	Duration time.Duration
	// Progress receives a line for each event of the run.
	Progress io.Writer
}

// finalObservation is how long feeds are watched after the load ends, long enough to detect
// that one has stalled.
const finalObservation = feedTimeout + time.Second

// Run runs the demo and returns its report. It returns an error if the demo could not finish;
// violations of guarantees are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	d, err := findDeployment(options.Deployment)
	if err != nil {
		return nil, oops.Code(result.Usage).Wrap(err)
	}
	log := newProgress(options.Progress)
	logger := slog.New(slog.NewTextHandler(options.Progress, &slog.HandlerOptions{Level: slog.LevelError}))
	e, err := newEnvironment(ctx, d, options.Seed, log, logger)
	if err != nil {
		return nil, fmt.Errorf("start stand-ins: %w", err)
	}
	defer e.close()
	s := &vmSet{env: e}
	e.vms = s
	defer s.stopAll()
	if err = s.startAndConverge(ctx); err != nil {
		return nil, err
	}
	return runScenario(ctx, e, s, options.Duration)
}

// startAndConverge starts the entry VMs and waits until they can place flows of all routes.
func (s *vmSet) startAndConverge(ctx context.Context) error {
	if _, err := s.env.editTables(func(*tablesDocument) {}); err != nil {
		return err
	}
	if err := s.startAll(ctx); err != nil {
		return fmt.Errorf("start entry VMs: %w", err)
	}
	list, err := s.publishList()
	if err != nil {
		return err
	}
	if _, err = s.converge(ctx, versions{tables: s.env.tables.Version, list: list}); err != nil {
		return err
	}
	s.updateFabric()
	s.env.log.printf("%d entry VMs, %d targets; waiting until non-repeatable flows can be placed",
		len(s.running()), len(s.env.targets))
	return s.awaitVoting(ctx)
}

// runScenario runs the load and the scenario concurrently and returns the report.
func runScenario(ctx context.Context, e *environment, s *vmSet, duration time.Duration) (*Report, error) {
	e.log.printf("the load starts")
	feedContext, endFeeds := context.WithCancel(ctx)
	defer endFeeds()
	l := newLoad(e)
	b := &balanceSampler{excluded: make(map[string]bool)}
	changes := &scenario{env: e, vms: s, balance: b}
	scenarioDone := make(chan error, 1)
	go func() { scenarioDone <- changes.run(ctx, duration) }()
	sampling, endSampling := context.WithCancel(ctx)
	samplingDone := make(chan struct{})
	go func() {
		defer close(samplingDone)
		b.run(sampling, e)
	}()
	l.run(ctx, feedContext, duration)
	err := <-scenarioDone
	endSampling()
	<-samplingDone
	if err = errors.Join(err, ctx.Err()); err != nil {
		return nil, err
	}
	sleep(ctx, finalObservation)
	report := l.report()
	endFeeds()
	l.feeds.running.Wait()
	report.lateConnections = changes.lateConnections()
	report.Imbalance = b.imbalance()
	report.ControlBytesPerSecondPerVM = s.controlRate()
	report.ConvergeMilliseconds = changes.maxConvergence.Milliseconds()
	report.findViolations()
	e.log.printf("connections per target in the worst sample, leaving and joining targets in brackets: %s", b.describe())
	e.log.printf("the load has ended")
	return report, nil
}

// report returns the counts of clients, targets and the fabric.
func (l *load) report() *Report {
	run, doubled := l.env.executionLog.Count()
	r := &Report{
		FeedsOpen:    int(l.feeds.opened.Load()),
		FeedsBroken:  int(l.feeds.broken.Load()),
		HoldsSent:    l.holds.sent,
		HoldsRun:     run,
		HoldsDoubled: doubled,
		HoldsRefused: len(l.holds.refused),
		UploadsSent:  int(l.uploads.sent.Load()),
		UploadsWhole: int(l.uploads.verified.Load()),
		Misrouted:    l.env.fabric.Misrouted() + l.env.misroutedResponses.Load(),
	}
	for _, id := range l.holds.refused {
		if l.env.executionLog.Runs(id) > 0 {
			r.HoldsRefusedButRun++
		}
	}
	return r
}
