package demo

import (
	"context"
	"time"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/standin"
)

// Points of the faults and planned changes, in percent of the duration.
const (
	changeTargetsAt = 10
	replaceVMAt     = 30
	editTablesAt    = 50
	crashVMAt       = 60
)

// Lags of the systems round the entry VMs.
const (
	// fabricLag is how long the fabric still sends to a VM that crashed.
	fabricLag = time.Second
	// listLag is how long the list still names a VM that crashed.
	listLag = 3 * time.Second
	// leavingLag is the span between the mark of a VM and the end of its packets.
	leavingLag = 500 * time.Millisecond
	// leavingDeadline is the span after which a leaving target may get no new work.
	leavingDeadline = 3 * time.Second
)

// script brings planned changes and a crash about while the load runs.
type script struct {
	world   *world
	vms     *vms
	balance *balance
	longest time.Duration
	// leaving is the target marked as leaving, once the deadline has passed, and
	// accepted is the number of its connections then.
	leaving  *standin.Target
	accepted int64
}

type step struct {
	percent int
	run     func(context.Context) error
}

func (s *script) run(ctx context.Context, duration time.Duration) error {
	start := time.Now()
	steps := []step{
		{changeTargetsAt, s.changeTargets},
		{replaceVMAt, s.replaceVM},
		{editTablesAt, s.editTables},
		{crashVMAt, s.crashVM},
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

// changeTargets marks one target as leaving and lets another join.
func (s *script) changeTargets(ctx context.Context) error {
	pool := s.world.deployment.booking
	joining, err := s.world.addTarget(ctx, pool.pool, pool.hosts, "joining")
	if err != nil {
		return err
	}
	leaving := s.world.targets[s.world.random.IntN(pool.hosts)]
	s.balance.exclude(leaving.Name(), true)
	s.balance.exclude(joining.Name(), true)
	s.world.log.printf("target %s is marked leaving, %s joining", leaving.Name(), joining.Name())
	err = s.publishTables(ctx, func(t *tablesDocument) { t.mark(leaving.Name(), "leaving") })
	if err != nil {
		return err
	}
	if !sleep(ctx, leavingDeadline) {
		return ctx.Err()
	}
	s.leaving = leaving
	s.accepted = leaving.Accepted()
	return nil
}

// lateWork returns the connections that the leaving target got after the deadline.
func (s *script) lateWork() int64 {
	if s.leaving == nil {
		return 0
	}
	return s.leaving.Accepted() - s.accepted
}

// publishTables edits the tables and measures until they are in force everywhere.
func (s *script) publishTables(ctx context.Context, edit func(*tablesDocument)) error {
	version, err := s.world.editTables(edit)
	if err != nil {
		return err
	}
	return s.await(ctx, versions{tables: version})
}

func (s *script) publishList(ctx context.Context) error {
	version, err := s.vms.publish()
	if err != nil {
		return err
	}
	return s.await(ctx, versions{list: version})
}

func (s *script) await(ctx context.Context, want versions) error {
	span, err := s.vms.converge(ctx, want)
	if err != nil {
		return err
	}
	s.longest = max(s.longest, span)
	s.world.log.printf("tables %d, list %d in force everywhere after %d ms", want.tables, want.list, span.Milliseconds())
	return nil
}

// replaceVM lets a new entry VM join and another leave gracefully.
func (s *script) replaceVM(ctx context.Context) error {
	all := s.vms.live()
	old := all[s.world.random.IntN(len(all))]
	fresh, err := s.vms.start(ctx, old.domain+"-new", old.domain)
	if err != nil {
		return err
	}
	s.world.log.printf("entry VM %s is marked leaving, %s joins", old.name, fresh.name)
	old.state = fleet.Leaving
	if err = s.publishList(ctx); err != nil {
		return err
	}
	sleep(ctx, leavingLag)
	s.vms.spray()
	old.stop()
	<-old.done
	s.world.log.printf("entry VM %s has left", old.name)
	s.vms.remove(old)
	return s.publishList(ctx)
}

// editTables changes the idle timeouts of all routes.
func (s *script) editTables(ctx context.Context) error {
	s.world.log.printf("the tables are edited")
	return s.publishTables(ctx, func(t *tablesDocument) { t.setIdleTimeout(editedIdleTimeout) })
}

// crashVM ends an entry VM abruptly. The fabric and the list notice late.
func (s *script) crashVM(ctx context.Context) error {
	all := s.vms.live()
	crashed := all[s.world.random.IntN(len(all))]
	s.world.log.printf("entry VM %s crashes", crashed.name)
	crashed.daemon.Kill()
	s.vms.remove(crashed)
	sleep(ctx, fabricLag)
	s.vms.spray()
	sleep(ctx, listLag-fabricLag)
	return s.publishList(ctx)
}
