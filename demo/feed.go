package demo

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondflow/almondflow/standin"
)

// feedTimeout is the time without an event after which a feed counts as stalled.
const feedTimeout = 5 * time.Second

// maxFeedAttempts limits the attempts to open a feed.
const maxFeedAttempts = 3

// feeds counts and runs feeds, long-lived connections on which targets push events.
type feeds struct {
	env          *environment
	log          *progress
	opened       atomic.Int64
	broken       atomic.Int64
	openFailures atomic.Int64
	started      int
	running      sync.WaitGroup
}

// start opens one feed and reads it until ctx is done.
func (f *feeds) start(ctx context.Context, from string) {
	f.running.Go(func() { f.run(ctx, from) })
}

func (f *feeds) run(ctx context.Context, from string) {
	c, response, err := f.open(ctx, from)
	if err != nil {
		if ctx.Err() == nil {
			f.openFailures.Add(1)
			f.log.printf("open a feed: %v", err)
		}
		return
	}
	defer c.close()
	defer response.Body.Close()
	f.opened.Add(1)
	f.env.checkPool(response, f.env.deployment.booking.pool)
	if err = f.read(ctx, c, response.Body); err != nil && ctx.Err() == nil {
		f.broken.Add(1)
		f.log.printf("feed %s failed: %v", c.address, err)
		f.env.logExplanation(c.address, f.env.booking)
	}
}

// open opens a feed in at most maxFeedAttempts attempts.
func (f *feeds) open(ctx context.Context, from string) (c *client, response *http.Response, err error) {
	for range maxFeedAttempts {
		if c, err = f.env.dialer.dial(ctx, from, f.env.booking); err != nil {
			continue
		}
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.env.url(standin.FeedPath), http.NoBody)
		if response, err = c.do(request); err == nil {
			return c, response, nil
		}
		c.close()
	}
	return nil, nil, err
}

var (
	errStalled         = errors.New("no event for " + feedTimeout.String())
	errUnexpectedEvent = errors.New("missing or repeated event")
	errEnded           = errors.New("feed ended")
)

// read reads events until ctx is done. It returns an error if an event is missing, repeated or
// late, or if the feed ends.
func (f *feeds) read(ctx context.Context, c *client, body io.Reader) error {
	timeout := time.AfterFunc(feedTimeout, func() { c.cancel(errStalled) })
	defer timeout.Stop()
	lines := bufio.NewScanner(body)
	for event := 0; lines.Scan(); event++ {
		if lines.Text() != strconv.Itoa(event) {
			return errUnexpectedEvent
		}
		timeout.Reset(feedTimeout)
	}
	if ctx.Err() != nil {
		return nil
	}
	if cause := c.cause(); cause != nil {
		return cause
	}
	if lines.Err() != nil {
		return lines.Err()
	}
	return errEnded
}
