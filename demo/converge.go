package demo

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Timing of waits for entry VMs.
const (
	convergeTimeout = 11 * time.Second
	votingTimeout   = 30 * time.Second
	pollInterval    = 5 * time.Millisecond
)

var errNotConverged = errors.New("not in use on every entry VM after " + convergeTimeout.String())

// versions holds the versions of the tables and of the list of entry VMs.
type versions struct {
	tables uint64
	list   uint64
}

// converge waits until every VM uses at least the given versions and returns the time that
// it took.
func (s *vmSet) converge(ctx context.Context, want versions) (time.Duration, error) {
	start := time.Now()
	for {
		if s.haveVersions(want) {
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

// haveVersions reports whether every VM uses at least the given versions.
func (s *vmSet) haveVersions(want versions) bool {
	for _, v := range s.running() {
		tables, list := v.daemon.Versions()
		if tables < want.tables || list < want.list {
			return false
		}
	}
	return true
}

// awaitVoting waits until every VM votes, so that non-repeatable flows can be placed.
func (s *vmSet) awaitVoting(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, votingTimeout)
	defer cancel()
	for {
		voting := true
		for _, v := range s.running() {
			voting = voting && v.daemon.Voting()
		}
		if voting {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("wait for entry VMs to vote: %w", ctx.Err())
		}
	}
}
