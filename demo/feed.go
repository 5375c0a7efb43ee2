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

// feedSilence is the span without an event after which a feed counts as stalled.
const feedSilence = 5 * time.Second

// feedAttempts bounds the tries to open one feed.
const feedAttempts = 3

// feeds are long-lived connections on which targets push events.
type feeds struct {
	world    *world
	log      *progress
	opened   atomic.Int64
	broken   atomic.Int64
	unopened atomic.Int64
	count    int
	running  sync.WaitGroup
}

// start opens one feed and reads it until ctx is done.
func (f *feeds) start(ctx context.Context, from string) {
	f.running.Go(func() { f.run(ctx, from) })
}

func (f *feeds) run(ctx context.Context, from string) {
	c, response, err := f.open(ctx, from)
	if err != nil {
		if ctx.Err() == nil {
			f.unopened.Add(1)
			f.log.printf("a feed could not be opened: %v", err)
		}
		return
	}
	defer c.close()
	defer response.Body.Close()
	f.opened.Add(1)
	f.world.checkPool(response, f.world.deployment.booking.pool)
	if err = f.read(ctx, c, response.Body); err != nil && ctx.Err() == nil {
		f.broken.Add(1)
		f.log.printf("feed %s broke: %v", c.address, err)
		f.world.explain(c.address, f.world.booking)
	}
}

func (f *feeds) open(ctx context.Context, from string) (c *client, response *http.Response, err error) {
	for range feedAttempts {
		if c, err = f.world.dialer.dial(ctx, from, f.world.booking); err != nil {
			continue
		}
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.world.url(standin.FeedPath), http.NoBody)
		if response, err = c.do(request); err == nil {
			return c, response, nil
		}
		c.close()
	}
	return nil, nil, err
}

var (
	errStalled = errors.New("no event for " + feedSilence.String())
	errGap     = errors.New("an event is missing")
	errEnded   = errors.New("the feed ended")
)

// read returns an error as soon as an event is missing, late or cannot be read.
func (f *feeds) read(ctx context.Context, c *client, body io.Reader) error {
	silence := time.AfterFunc(feedSilence, func() { c.cancel(errStalled) })
	defer silence.Stop()
	lines := bufio.NewScanner(body)
	for event := 0; lines.Scan(); event++ {
		if lines.Text() != strconv.Itoa(event) {
			return errGap
		}
		silence.Reset(feedSilence)
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
