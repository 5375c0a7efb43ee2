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

// holdTimeout bounds one hold on a connection that is open already.
const holdTimeout = 10 * time.Second

// holds are requests that may run at most once.
type holds struct {
	world   *world
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

// sendNew sends one hold on a connection of its own.
func (h *holds) sendNew(ctx context.Context) {
	h.running.Go(func() {
		id := h.nextID()
		c, err := h.world.dialer.dial(ctx, holdAddress, h.world.booking)
		if err != nil {
			h.note(id, err)
			return
		}
		defer c.close()
		h.note(id, h.send(c, id))
	})
}

// keep sends holds on one connection until ctx is done. It opens another connection
// when that one fails.
func (h *holds) keep(ctx context.Context, interval time.Duration) {
	h.running.Go(func() {
		for ctx.Err() == nil {
			h.keepOne(ctx, interval)
		}
	})
}

func (h *holds) keepOne(ctx context.Context, interval time.Duration) {
	c, err := h.world.dialer.dial(ctx, holdAddress, h.world.booking)
	if err != nil {
		return
	}
	defer c.close()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		id := h.nextID()
		err = h.send(c, id)
		h.note(id, err)
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

// send uses a context of its own, so that the end of the load cuts no request short.
func (h *holds) send(c *client, id string) error {
	query := url.Values{"id": {id}}
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, h.world.url(standin.HoldPath)+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return err
	}
	late := time.AfterFunc(holdTimeout, func() { c.cancel(context.DeadlineExceeded) })
	defer late.Stop()
	response, err := c.do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	h.world.checkPool(response, h.world.deployment.booking.pool)
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (h *holds) note(id string, err error) {
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
	h.log.printf("%s without answer: %v", id, err)
}
