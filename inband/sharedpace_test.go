package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/load"
)

// placeAfterSlowTarget opens flows for 4 s while others report that the first target is slow, and for another
// one while they report no more work there. In between, change may change the target.
func placeAfterSlowTarget(change func(e *inband.Engine, slow inband.Target)) (slow, usual int) {
	targets := largePool(10, "a")
	e := newSharedEngine(targets)
	r := &reporter{targets: targets, work: load.Work{Busy: 1, Finished: 20}}
	r.workAt = map[string]load.Work{targets[0].ID: {Busy: 2, Finished: 8}}
	place(e, r, 0, 4*clock.Second)
	change(e, *targets[0])
	r.workAt[targets[0].ID] = load.Work{}
	flows := place(e, r, 4*clock.Second, 6*clock.Second)
	return flows[targets[0].ID], flows[targets[1].ID]
}

// TestSharedRemembersSlowTargets guards callers against a slow target that gets flows of all VMs as soon as it has no
// more work.
func TestSharedRemembersSlowTargets(t *testing.T) {
	is := is.New(t)
	slow, usual := placeAfterSlowTarget(func(*inband.Engine, inband.Target) {})
	is.True(4*slow <= usual)
}

// A target that has started again gets flows like the others.
func TestSharedForgetsSlownessWithARestart(t *testing.T) {
	is := is.New(t)
	slow, usual := placeAfterSlowTarget(func(e *inband.Engine, target inband.Target) {
		target.StartedAtMS++
		e.UpdateTargets(published(&target))
	})
	is.True(2*slow >= usual)
}

// A quarter of the targets that are slow does not change what is usual.
func TestSharedKnowsTheUsualServiceTime(t *testing.T) {
	is := is.New(t)
	targets := largePool(12, "a")
	e := newSharedEngine(targets)
	r := &reporter{targets: targets, work: load.Work{Busy: 1, Finished: 20}, workAt: map[string]load.Work{}}
	for i := 0; i < len(targets); i += 4 {
		r.workAt[targets[i].ID] = load.Work{Busy: 2, Finished: 8}
	}
	place(e, r, 0, 4*clock.Second)
	usual := e.Spillings()[0].ServiceTime
	is.True(usual > 45)
	is.True(usual < 55)
}
