package demo

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/almondflow/almondflow/standin"
)

// holdTimeout is the time limit of a hold on an open connection.
const holdTimeout = 10 * time.Second

// holds counts and sends holds, requests that may run at most once.
type holds struct {
	env     *environment
	log     *progress
	mu      sync.Mutex
	sent    int
	failed  int
	refused []string
	running sync.WaitGroup
}

func (h *holds) nextID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent++
	return "hold-" + strconv.Itoa(h.sent)
}

// sendNew sends a hold on a new connection.
func (h *holds) sendNew(ctx context.Context) {
	h.running.Go(func() {
		id := h.nextID()
		c, err := h.env.dialer.dial(ctx, holdAddress, h.env.booking)
		if err != nil {
			h.recordError(id, err)
			return
		}
		defer c.close()
		h.recordError(id, h.send(c, id))
	})
}

// sendContinuously sends holds on one connection until ctx is done. When the connection fails,
// it opens another.
func (h *holds) sendContinuously(ctx context.Context, interval time.Duration) {
	h.running.Go(func() {
		for ctx.Err() == nil {
			h.sendOnConnection(ctx, interval)
		}
	})
}

// sendOnConnection sends holds on a new connection until one fails or ctx is done.
func (h *holds) sendOnConnection(ctx context.Context, interval time.Duration) {
	c, err := h.env.dialer.dial(ctx, holdAddress, h.env.booking)
	if err != nil {
		return
	}
	defer c.close()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		id := h.nextID()
		err = h.send(c, id)
		h.recordError(id, err)
		if err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// send sends a hold in the client's context, so that the end of the load does not cancel it.
func (h *holds) send(c *client, id string) error {
	query := url.Values{"id": {id}}
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, h.env.url(standin.HoldPath)+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return err
	}
	timeout := time.AfterFunc(holdTimeout, func() { c.cancel(context.DeadlineExceeded) })
	defer timeout.Stop()
	response, err := c.do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	h.env.checkPool(response, h.env.deployment.booking.pool)
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// recordError records the failure of a hold, if any. Refused holds are listed by id, because
// no target may have run them.
func (h *holds) recordError(id string, err error) {
	if err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if errors.Is(err, errRefused) {
		h.refused = append(h.refused, id)
		return
	}
	h.failed++
	h.log.printf("%s failed: %v", id, err)
}
