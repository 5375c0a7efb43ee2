package demo

import (
	"context"
	"time"
)

// Counts and intervals of the load.
const (
	feedCount              = 168
	initialFeeds           = 112
	feedsFromHoldAddress   = 24
	newHoldInterval        = 60 * time.Millisecond
	persistentHoldInterval = 400 * time.Millisecond
	persistentConnections  = 8
	uploadInterval         = 300 * time.Millisecond
	initialFeedInterval    = 5 * time.Millisecond
)

// load generates the requests of all clients.
type load struct {
	env     *environment
	feeds   *feeds
	holds   *holds
	uploads *uploads
}

func newLoad(e *environment) *load {
	return &load{
		env:     e,
		feeds:   &feeds{env: e, log: e.log},
		holds:   &holds{env: e, log: e.log},
		uploads: &uploads{env: e, log: e.log},
	}
}

// run starts requests for a duration and then waits for those in progress. Feeds stay open
// until feedContext is done.
func (l *load) run(ctx, feedContext context.Context, duration time.Duration) {
	loadContext, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	for range initialFeeds {
		l.openFeed(feedContext)
		sleep(loadContext, initialFeedInterval)
	}
	for range persistentConnections {
		l.holds.sendContinuously(loadContext, persistentHoldInterval)
	}
	l.generate(ctx, loadContext, feedContext, duration)
	l.holds.running.Wait()
	l.uploads.running.Wait()
}

// generate starts holds, uploads and the remaining feeds at their intervals until loadContext
// is done.
func (l *load) generate(ctx, loadContext, feedContext context.Context, duration time.Duration) {
	holds := time.NewTicker(newHoldInterval)
	defer holds.Stop()
	uploads := time.NewTicker(uploadInterval)
	defer uploads.Stop()
	feeds := time.NewTicker(duration / (feedCount - initialFeeds + 1))
	defer feeds.Stop()
	seed := l.env.seed << 32
	for {
		select {
		case <-loadContext.Done():
			return
		case <-holds.C:
			l.holds.sendNew(ctx)
		case <-uploads.C:
			seed++
			l.uploads.start(ctx, seed)
		case <-feeds.C:
			l.openFeed(feedContext)
		}
	}
}

// openFeed opens a feed. The first feedsFromHoldAddress feeds come from the address of holds
// and so use their non-repeatable route; the rest use the repeatable route.
func (l *load) openFeed(ctx context.Context) {
	from := clientAddress
	if l.feeds.started < feedsFromHoldAddress {
		from = holdAddress
	}
	l.feeds.started++
	l.feeds.start(ctx, from)
}
