package demo

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Spans of the waits for entry VMs.
const (
	convergeTimeout = 11 * time.Second
	votingTimeout   = 30 * time.Second
	pollInterval    = 5 * time.Millisecond
)

var errNotConverged = errors.New("an entry VM does not have it in force after " + convergeTimeout.String())

// versions are the documents that should be in force.
type versions struct {
	tables uint64
	list   uint64
}

// converge waits until every VM has the versions in force and returns the span.
func (s *vms) converge(ctx context.Context, want versions) (time.Duration, error) {
	start := time.Now()
	for {
		if s.haveInForce(want) {
			return time.Since(start), nil
		}
		if time.Since(start) > convergeTimeout {
			return 0, fmt.Errorf("tables %d, list %d: %w", want.tables, want.list, errNotConverged)
		}
		if !sleep(ctx, pollInterval) {
			return 0, ctx.Err()
		}
	}
}

func (s *vms) haveInForce(want versions) bool {
	for _, v := range s.live() {
		tables, list := v.daemon.Versions()
		if tables < want.tables || list < want.list {
			return false
		}
	}
	return true
}

// awaitVoting waits until every VM places flows that may not be repeated.
func (s *vms) awaitVoting(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, votingTimeout)
	defer cancel()
	for {
		voting := true
		for _, v := range s.live() {
			voting = voting && v.daemon.Voting()
		}
		if voting {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("entry VMs do not vote: %w", ctx.Err())
		}
	}
}
