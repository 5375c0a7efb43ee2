package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/published"
)

const (
	// The delay between two calls of seed peers is random, below twice an interval that
	// starts at minSeedInterval and doubles up to maxSeedInterval.
	minSeedInterval = clock.Second
	maxSeedInterval = clock.Minute
	// seedTimeout is the time limit for pulling both documents from a seed peer.
	seedTimeout = 10 * clock.Second
)

// pullFromSeeds pulls the list and the tables from random seed peers until the daemon has a
// list, so that it can start while the platform is down. The first call is delayed at random,
// as the first call to the platform is, because all daemons of a fleet may start at once. The
// store keeps the highest version, whichever source it comes from.
func (c *controlLoop) pullFromSeeds(ctx context.Context) {
	d := c.daemon
	if len(d.config.SeedPeers) == 0 {
		return
	}
	random := rand.New(rand.NewPCG(uint64(d.self), d.incarnation+1))
	delay, interval := published.JitterPeriod(d.config.FleetSize), minSeedInterval
	for d.store.List() == nil {
		timer := time.NewTimer(time.Duration(random.Int64N(int64(delay.Duration()))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		c.pullFromSeed(ctx, random.IntN(len(d.config.SeedPeers)))
		delay, interval = 2*interval, min(2*interval, maxSeedInterval)
	}
}

// pullFromSeed pulls the list and the tables from one seed peer.
func (c *controlLoop) pullFromSeed(ctx context.Context, seed int) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout.Duration())
	defer cancel()
	for _, name := range []string{published.List, published.Tables} {
		c.Pull(ctx, &c.daemon.config.SeedPeers[seed], name, 0)
	}
}
