package published

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// maxSleep limits how long a goroutine sleeps between checks of the clock, because DueAt
// may become earlier meanwhile.
const maxSleep = 100 * clock.Millisecond

// Runner keeps the values of one daemon up to date: it makes the calls of its Pollers and
// offers the updates to a Store. Lock order: the locks of the Store, then that of the
// Runner.
type Runner struct {
	service Service
	store   *Store
	clock   clock.Clock
	logger  *slog.Logger
	self    fleet.ID
	mu      sync.Mutex
	limiter *Limiter
	pollers []*Poller
}

// NewRunner returns a Runner for the daemon self and registers it as a listener of the
// store. fleetSize is the expected number of daemons, which determines the rate limit
// until the member list is known.
func NewRunner(service Service, store *Store, c clock.Clock, logger *slog.Logger, random *rand.Rand, self fleet.ID, fleetSize int) *Runner {
	now := c.Now()
	r := &Runner{
		service: service,
		store:   store,
		clock:   c,
		logger:  logger,
		self:    self,
		limiter: NewLimiter(now, fleetSize),
	}
	for _, name := range []string{List, Tables} {
		r.pollers = append(r.pollers, NewPoller(now, name, r.limiter, random, fleetSize))
	}
	store.Listen(r.handleChange)
	return r
}

// handleChange handles a change of the store, whether it came from the platform or a peer.
func (r *Runner) handleChange(change Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, poller := range r.pollers {
		if poller.name == change.name {
			poller.RecordVersion(change.version)
		}
	}
	if change.list == nil {
		return
	}
	readers := SelectReaders(change.list, ReadersPerDomain)
	isReader := IsReader(readers, r.self)
	r.limiter.SetFleet(change.changedAt, change.list.Len(), len(readers), isReader)
	for _, poller := range r.pollers {
		poller.SetFleet(change.changedAt, change.list.Len(), isReader)
	}
}

// ReceivePeerVersion handles a report of a peer about its version of a value. age is how
// long ago that version was the platform's newest to the peer's knowledge. A peer with the
// same version postpones the next direct read.
func (r *Runner) ReceivePeerVersion(now clock.Millis, name string, version uint64, age clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, poller := range r.pollers {
		if poller.name == name {
			poller.ReceivePeerVersion(now, version, age)
		}
	}
}

// ConfirmedAge returns how long ago the platform was last known to have no version newer
// than the current one. It reports false if that was never known. Daemons report this age to
// their peers.
func (r *Runner) ConfirmedAge(now clock.Millis, name string) (clock.Millis, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, poller := range r.pollers {
		if poller.name == name {
			return poller.ConfirmedAge(now)
		}
	}
	return 0, false
}

// Counters returns the sums of the counters of all Pollers.
func (r *Runner) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Counters
	for _, poller := range r.pollers {
		c := poller.Counters()
		sum.Calls += c.Calls
		sum.Failures += c.Failures
		sum.Stale += c.Stale
		sum.Limited += c.Limited
	}
	return sum
}

// Run polls all values until the context ends.
func (r *Runner) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, poller := range r.pollers {
		group.Go(func() { r.poll(ctx, poller) })
	}
	group.Wait()
}

func (r *Runner) poll(ctx context.Context, poller *Poller) {
	for ctx.Err() == nil {
		request, wait := r.next(poller)
		if wait > 0 {
			sleep(ctx, wait)
			continue
		}
		response := r.service.Call(ctx, request)
		if ctx.Err() == nil {
			r.handleResponse(poller, request, response)
		}
	}
}

// next returns a request, or how long to wait for one.
func (r *Runner) next(poller *Poller) (Request, clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	request, ok := poller.Next(now)
	if ok {
		return request, 0
	}
	return request, min(maxSleep, max(clock.Millisecond, poller.DueAt()-now))
}

func (r *Runner) handleResponse(poller *Poller, request Request, response Response) {
	now := r.clock.Now()
	r.mu.Lock()
	update, ok := poller.HandleResponse(now, response)
	r.mu.Unlock()
	if response.outcome == Failed {
		r.logger.Warn("platform call failed", "name", request.name, "reason", response.reason)
	}
	if !ok {
		return
	}
	verdict, err := r.store.OfferUpdate(now, "platform", update)
	if verdict != Accepted && verdict != Known {
		r.mu.Lock()
		poller.DiscardParts()
		r.mu.Unlock()
	}
	if err != nil {
		r.logger.Error("version refused", "name", update.name, "version", update.version,
			"verdict", verdict.String(), "reason", err)
	}
}

func sleep(ctx context.Context, duration clock.Millis) {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
