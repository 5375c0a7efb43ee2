package demo

import (
	"context"
	"time"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/standin"
)

// Times of the steps, in percent of the duration.
const (
	replaceTargetPercent = 10
	replaceVMPercent     = 30
	editTablesPercent    = 50
	crashVMPercent       = 60
)

// Delays after a change.
const (
	// fabricLag is how long the fabric keeps sending to a crashed VM.
	fabricLag = time.Second
	// listLag is how long the list keeps naming a crashed VM.
	listLag = 3 * time.Second
	// fabricDrainLag is how long the fabric keeps sending to a VM marked as leaving.
	fabricDrainLag = 500 * time.Millisecond
	// leavingDeadline is the time after which a target marked as leaving may get no new
	// connections.
	leavingDeadline = 3 * time.Second
)

// scenario makes planned changes and crashes an entry VM while the load runs.
type scenario struct {
	env            *environment
	vms            *vmSet
	balance        *balanceSampler
	maxConvergence time.Duration
	// leaving is the target marked as leaving, set when leavingDeadline has passed, and
	// acceptedAtDeadline is the number of connections that it had accepted by then.
	leaving            *standin.Target
	acceptedAtDeadline int64
}

// step is an action at a percentage of the duration.
type step struct {
	percent int
	run     func(context.Context) error
}

func (s *scenario) run(ctx context.Context, duration time.Duration) error {
	start := time.Now()
	steps := []step{
		{replaceTargetPercent, s.replaceTarget},
		{replaceVMPercent, s.replaceVM},
		{editTablesPercent, s.editTables},
		{crashVMPercent, s.crashVM},
	}
	for _, next := range steps {
		at := start.Add(duration * time.Duration(next.percent) / 100)
		if !sleep(ctx, time.Until(at)) {
			return ctx.Err()
		}
		if err := next.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// replaceTarget marks one target as leaving and adds another.
func (s *scenario) replaceTarget(ctx context.Context) error {
	service := s.env.deployment.booking
	joining, err := s.env.addTarget(ctx, service.pool, service.hosts, "joining")
	if err != nil {
		return err
	}
	leaving := s.env.targets[s.env.random.IntN(service.hosts)]
	s.balance.exclude(leaving.Name(), true)
	s.balance.exclude(joining.Name(), true)
	s.env.log.printf("target %s is marked leaving, %s joining", leaving.Name(), joining.Name())
	err = s.publishTables(ctx, func(t *tablesDocument) { t.mark(leaving.Name(), "leaving") })
	if err != nil {
		return err
	}
	if !sleep(ctx, leavingDeadline) {
		return ctx.Err()
	}
	s.leaving = leaving
	s.acceptedAtDeadline = leaving.Accepted()
	return nil
}

// lateConnections returns the number of connections that the leaving target accepted after
// leavingDeadline.
func (s *scenario) lateConnections() int64 {
	if s.leaving == nil {
		return 0
	}
	return s.leaving.Accepted() - s.acceptedAtDeadline
}

// publishTables edits and publishes the tables and waits until every VM uses them.
func (s *scenario) publishTables(ctx context.Context, edit func(*tablesDocument)) error {
	version, err := s.env.editTables(edit)
	if err != nil {
		return err
	}
	return s.awaitVersions(ctx, versions{tables: version})
}

// publishList publishes the list of entry VMs and waits until every VM uses it.
func (s *scenario) publishList(ctx context.Context) error {
	version, err := s.vms.publishList()
	if err != nil {
		return err
	}
	return s.awaitVersions(ctx, versions{list: version})
}

// awaitVersions waits until every VM uses the given versions and records the longest wait.
func (s *scenario) awaitVersions(ctx context.Context, want versions) error {
	duration, err := s.vms.converge(ctx, want)
	if err != nil {
		return err
	}
	s.maxConvergence = max(s.maxConvergence, duration)
	s.env.log.printf("tables %d, list %d in use on every entry VM after %d ms", want.tables, want.list, duration.Milliseconds())
	return nil
}

// replaceVM starts a new entry VM and shuts down another gracefully.
func (s *scenario) replaceVM(ctx context.Context) error {
	running := s.vms.running()
	leaving := running[s.env.random.IntN(len(running))]
	joining, err := s.vms.startVM(ctx, leaving.domain+"-new", leaving.domain)
	if err != nil {
		return err
	}
	s.env.log.printf("entry VM %s is marked leaving, %s joins", leaving.name, joining.name)
	leaving.state = fleet.Leaving
	if err = s.publishList(ctx); err != nil {
		return err
	}
	sleep(ctx, fabricDrainLag)
	s.vms.updateFabric()
	leaving.stop()
	<-leaving.done
	s.env.log.printf("entry VM %s has left", leaving.name)
	s.vms.remove(leaving)
	return s.publishList(ctx)
}

// editTables changes the idle timeouts of all routes.
func (s *scenario) editTables(ctx context.Context) error {
	s.env.log.printf("the tables are edited")
	return s.publishTables(ctx, func(t *tablesDocument) { t.setIdleTimeout(editedIdleTimeoutSeconds) })
}

// crashVM kills an entry VM. The fabric and the list exclude it after fabricLag and listLag.
func (s *scenario) crashVM(ctx context.Context) error {
	running := s.vms.running()
	crashed := running[s.env.random.IntN(len(running))]
	s.env.log.printf("entry VM %s crashes", crashed.name)
	crashed.daemon.Kill()
	s.vms.remove(crashed)
	sleep(ctx, fabricLag)
	s.vms.updateFabric()
	sleep(ctx, listLag-fabricLag)
	return s.publishList(ctx)
}
