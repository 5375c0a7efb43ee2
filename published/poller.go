package published

import (
	"math/rand/v2"

	"github.com/almondflow/almondflow/clock"
)

// Timing of a Poller.
const (
	// LongPollWait is how long a long poll may wait for a newer version.
	LongPollWait = 30 * clock.Second
	// DirectReadDelay is how long after the last confirmation of its version a daemon that
	// is not a reader calls the service itself.
	DirectReadDelay = 20 * clock.Second
	// initialReadDelay is the longest additional delay of the first read of the tables,
	// during which a starting daemon may get them from its peers.
	initialReadDelay = 3 * clock.Second
	// minBackoff is the delay after the first failed call. It doubles up to
	// maxReaderBackoff, or up to maxBackoff for daemons that are not readers in a fleet so
	// large that their calls would otherwise exceed their share of the call rate.
	minBackoff       = 500 * clock.Millisecond
	maxReaderBackoff = 4 * clock.Second
	maxBackoff       = 60 * clock.Second
	// backoffJitterPeriods is the ratio of the longest backoff of a large fleet to
	// JitterPeriod, so that failing calls use only a part of the share.
	backoffJitterPeriods = 4
)

// Poller decides when a daemon calls the platform's service for one value, and assembles
// the parts of a split value. A daemon that is a reader watches the service with long
// polls; others read directly only when their peers do not confirm their version. Poller
// is deterministic: it takes the time and random numbers from its caller. It is not safe
// for concurrent use.
type Poller struct {
	name      string
	limiter   *Limiter
	random    *rand.Rand
	fleetSize int
	isReader  bool
	// knownVersion is the highest version that was fetched or came from a peer.
	knownVersion uint64
	// fetchedVersion is the highest version that was fetched from the service.
	fetchedVersion uint64
	// failures is the number of consecutive failed calls.
	failures int
	endpoint int
	dueAt    clock.Millis
	inFlight bool
	// assembly collects the parts of a split version while they are fetched.
	assembly *assembly
	// lastAssembly holds the parts of the version fetched last, if it is split and was
	// accepted.
	lastAssembly *assembly
	// confirmedAt is when the platform was last known to have no version above
	// knownVersion.
	confirmedAt clock.Millis
	isConfirmed bool
	counters    Counters
}

// Counters counts the calls of a Poller and their results.
type Counters struct {
	// Calls is the number of requests, each of which the service counts.
	Calls uint64
	// Failures is the number of calls without a usable response.
	Failures uint64
	// Stale is the number of responses with a version below the known one.
	Stale uint64
	// Limited is the number of calls that the rate limit delayed.
	Limited uint64
}

// NewPoller returns a Poller for a daemon that starts at now without any version. The
// limiter is shared with the daemon's other Pollers. fleetSize is the number of daemons
// that may start at the same time; their first calls are spread accordingly.
func NewPoller(now clock.Millis, name string, limiter *Limiter, random *rand.Rand, fleetSize int) *Poller {
	p := &Poller{name: name, limiter: limiter, random: random, fleetSize: fleetSize}
	p.dueAt = now + p.jitter(JitterPeriod(fleetSize))
	if name != List {
		p.dueAt += min(initialReadDelay, JitterPeriod(fleetSize))
	}
	return p
}

// Name returns the name of the value.
func (p *Poller) Name() string { return p.name }

// Counters returns the counters.
func (p *Poller) Counters() Counters { return p.counters }

// SetFleet sets the number of daemons and whether this one is a reader.
func (p *Poller) SetFleet(now clock.Millis, fleetSize int, isReader bool) {
	becameReader := isReader && !p.isReader
	p.fleetSize, p.isReader = fleetSize, isReader
	if becameReader && !p.inFlight && p.failures == 0 {
		p.dueAt = min(p.dueAt, now+p.jitter(clock.Second))
	}
}

// ReceivePeerVersion handles a report of a peer about its version. age is how long ago
// that version was the platform's newest to the peer's knowledge. A peer with the same
// version postpones the next direct read.
func (p *Poller) ReceivePeerVersion(now clock.Millis, version uint64, age clock.Millis) {
	if version == p.knownVersion && version > 0 {
		p.confirm(now - max(age, 0))
	}
}

// RecordVersion records that the daemon now has a version, from the platform or a peer.
func (p *Poller) RecordVersion(version uint64) { p.knownVersion = max(p.knownVersion, version) }

// ConfirmedAge returns how long ago the platform was last known to have no newer version.
// It reports false if that was never known.
func (p *Poller) ConfirmedAge(now clock.Millis) (clock.Millis, bool) {
	return now - p.confirmedAt, p.isConfirmed
}

// confirm records that the platform had no newer version at the given time.
func (p *Poller) confirm(at clock.Millis) {
	if p.isConfirmed && at <= p.confirmedAt {
		return
	}
	p.confirmedAt, p.isConfirmed = at, true
	if !p.isReader && !p.inFlight && p.assembly == nil {
		p.dueAt = max(p.dueAt, at+DirectReadDelay+p.jitter(JitterPeriod(p.fleetSize)))
	}
}

// DueAt returns when Next may return a request, if none is in flight.
func (p *Poller) DueAt() clock.Millis { return p.dueAt }

// Next returns the request to make at now, if any. The caller must pass the response to
// HandleResponse before it calls Next again.
func (p *Poller) Next(now clock.Millis) (Request, bool) {
	if p.inFlight || now < p.dueAt {
		return Request{}, false
	}
	if wait, ok := p.limiter.Take(now); !ok {
		p.counters.Limited++
		p.dueAt = now + wait
		return Request{}, false
	}
	p.inFlight = true
	p.counters.Calls++
	if p.assembly != nil && p.assembly.version < p.knownVersion {
		p.assembly = nil
	}
	if p.assembly != nil {
		return Request{name: p.assembly.missingPart(), endpoint: p.endpoint}, true
	}
	request := Request{name: p.name, endpoint: p.endpoint}
	if p.isReader && p.fetchedVersion > 0 {
		request.after, request.wait = p.fetchedVersion, LongPollWait
	}
	return request, true
}

// HandleResponse handles the response to the last request from Next. It returns an update
// and reports true when a newer version is complete.
func (p *Poller) HandleResponse(now clock.Millis, response Response) (Update, bool) {
	p.inFlight = false
	switch {
	case response.outcome == Failed:
		return p.handleFailure(now)
	case response.outcome == Unchanged:
		p.scheduleNext(now)
		p.confirm(now)
		return Update{}, false
	case p.assembly != nil:
		return p.handlePart(now, response)
	case response.version < p.knownVersion || response.version <= p.fetchedVersion || !p.isReader && response.version == p.knownVersion:
		return p.handleKnownVersion(now, response.version)
	case isHead(response.value):
		return p.handleHead(now, response)
	}
	p.lastAssembly = nil
	return p.completeUpdate(now, NewUpdate(p.name, response.version, response.value))
}

// handleKnownVersion handles a response without a newer version. A version below the
// known one shows that the endpoint is stale: the next call goes to another endpoint, and
// nothing is confirmed.
func (p *Poller) handleKnownVersion(now clock.Millis, version uint64) (Update, bool) {
	if version < p.knownVersion {
		p.counters.Stale++
		return p.handleFailure(now)
	}
	p.scheduleNext(now)
	p.confirm(now)
	return Update{}, false
}

// handleHead starts to assemble a split value.
func (p *Poller) handleHead(now clock.Millis, response Response) (Update, bool) {
	version, parts, err := parseHead(response.value)
	if err != nil || version != response.version {
		return p.handleFailure(now)
	}
	p.assembly = newAssembly(version, parts, p.lastAssembly)
	if p.assembly.isComplete() {
		return p.completeAssembly(now)
	}
	p.dueAt = now
	return Update{}, false
}

// handlePart adds a part to the assembly. A part of another version ends the assembly.
func (p *Poller) handlePart(now clock.Millis, response Response) (Update, bool) {
	if !p.assembly.add(response.value) {
		p.assembly = nil
		return p.handleFailure(now)
	}
	p.dueAt = now
	if p.assembly.isComplete() {
		return p.completeAssembly(now)
	}
	return Update{}, false
}

// completeAssembly returns the update of a split value whose parts are all there.
func (p *Poller) completeAssembly(now clock.Millis) (Update, bool) {
	a := p.assembly
	p.assembly = nil
	update, err := a.updateFrom(p.lastAssembly)
	if err != nil {
		return p.handleFailure(now)
	}
	p.lastAssembly = a
	return p.completeUpdate(now, Update{name: p.name, version: a.version, split: update})
}

// DiscardParts discards the parts of the last update, which was not accepted, so that the
// next update contains all parts.
func (p *Poller) DiscardParts() { p.lastAssembly = nil }

// completeUpdate records a fetched version and returns its update.
func (p *Poller) completeUpdate(now clock.Millis, update Update) (Update, bool) {
	p.knownVersion = max(p.knownVersion, update.version)
	p.fetchedVersion = update.version
	p.scheduleNext(now)
	p.confirm(now)
	return update, true
}

// scheduleNext schedules the call after a successful one. Readers start the next long
// poll at once; if the service does not support long polls, the limiter bounds the rate.
func (p *Poller) scheduleNext(now clock.Millis) {
	p.failures = 0
	p.dueAt = now
	if !p.isReader {
		p.dueAt = now + DirectReadDelay + p.jitter(JitterPeriod(p.fleetSize))
	}
}

// handleFailure counts a failed call and schedules the next call, to the next endpoint,
// with exponential backoff.
func (p *Poller) handleFailure(now clock.Millis) (Update, bool) {
	p.counters.Failures++
	p.endpoint++
	backoff := min(p.backoffLimit(), minBackoff<<min(p.failures, 16))
	p.failures++
	p.dueAt = now + backoff/2 + p.jitter(backoff)
	return Update{}, false
}

// backoffLimit returns the longest backoff. It is short for readers and in small fleets,
// because the fleet waits for their calls after the platform has recovered.
func (p *Poller) backoffLimit() clock.Millis {
	if p.isReader {
		return maxReaderBackoff
	}
	return min(maxBackoff, max(maxReaderBackoff, backoffJitterPeriods*JitterPeriod(p.fleetSize)))
}

// jitter returns a random duration below the bound.
func (p *Poller) jitter(bound clock.Millis) clock.Millis {
	if bound <= 0 {
		return 0
	}
	return clock.Millis(p.random.Int64N(int64(bound)))
}
