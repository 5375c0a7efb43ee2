package demo

import (
	"context"
	"time"
)

// Rates of the load.
const (
	feedCount          = 168
	firstFeeds         = 112
	feedFamilies       = 24
	newHoldInterval    = 60 * time.Millisecond
	keptHoldInterval   = 400 * time.Millisecond
	keptConnections    = 8
	uploadInterval     = 300 * time.Millisecond
	firstFeedsInterval = 5 * time.Millisecond
)

// load is what clients do all the time.
type load struct {
	world   *world
	feeds   *feeds
	holds   *holds
	uploads *uploads
}

func newLoad(w *world) *load {
	return &load{
		world:   w,
		feeds:   &feeds{world: w, log: w.log},
		holds:   &holds{world: w, log: w.log},
		uploads: &uploads{world: w, log: w.log},
	}
}

// run starts requests until the span is over. Feeds stay open until feedContext ends,
// and requests under way are waited for.
func (l *load) run(ctx, feedContext context.Context, span time.Duration) {
	limited, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	for range firstFeeds {
		l.openFeed(feedContext)
		sleep(limited, firstFeedsInterval)
	}
	for range keptConnections {
		l.holds.keep(limited, keptHoldInterval)
	}
	l.request(ctx, limited, feedContext, span)
	l.holds.running.Wait()
	l.uploads.running.Wait()
}

func (l *load) request(ctx, limited, feedContext context.Context, span time.Duration) {
	holds := time.NewTicker(newHoldInterval)
	defer holds.Stop()
	uploads := time.NewTicker(uploadInterval)
	defer uploads.Stop()
	feeds := time.NewTicker(span / (feedCount - firstFeeds + 1))
	defer feeds.Stop()
	seed := l.world.seed << 32
	for {
		select {
		case <-limited.Done():
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

// openFeed opens a feed of one of two kinds: most on the route whose flows may be
// repeated, some from the addresses of holds.
func (l *load) openFeed(ctx context.Context) {
	from := clientAddress
	if l.feeds.count < feedFamilies {
		from = holdAddress
	}
	l.feeds.count++
	l.feeds.start(ctx, from)
}
