package member

import "github.com/almondflow/almondflow/clock"

// Defaults of the spans, in milliseconds.
const (
	// DefaultProbePeriod is the time between two direct probes of a daemon.
	DefaultProbePeriod = 300 * clock.Millisecond
	// DefaultLease is how long an answer supports voting, from the sending of the probe.
	DefaultLease = 3 * clock.Second
	// DefaultQuarantine is the age below which a process does not vote.
	DefaultQuarantine = 6 * clock.Second
)

// Fixed spans of the protocol, in milliseconds.
const (
	directTimeout  = 200 * clock.Millisecond
	probeTimeout   = 600 * clock.Millisecond
	suspicionBase  = 800 * clock.Millisecond
	reminderPeriod = 200 * clock.Millisecond
	pauseGap       = clock.Second
	resumeTimeout  = 2 * clock.Second
	pullJitter     = 100 * clock.Millisecond
	pullRetry      = 500 * clock.Millisecond
	fastSpan       = 10 * clock.Second
	countsInterval = clock.Second
	// coldSpan is the age up to which an established process may be part of a cold start.
	coldSpan = clock.Minute
)

// Fixed numbers of the protocol.
const (
	indirectProbes = 2
	// fastFactor is by how much probes are more frequent while much is new.
	fastFactor     = 3
	noticesOnLeave = 4
	// maximumPartners is the number of members that a daemon probes.
	maximumPartners = 48
	// maximumReminded bounds how many suspects are probed out of turn.
	maximumReminded = 4
	// maximumStack bounds how many changes of the list may be in progress at once.
	maximumStack = 64
)

// MaximumDriftPerMille bounds by how much one daemon's clock may run faster than
// another's, in thousandths.
const MaximumDriftPerMille = 10

// clockResolution covers that both ends of a span are rounded to milliseconds.
const clockResolution = 2 * clock.Millisecond

// Option changes how a Machine works.
type Option func(*options)

type options struct {
	period     clock.Millis
	leaseSpan  clock.Millis
	quarantine clock.Millis
	budget     *Budget
	// The faults exist so that tests can show that they are noticed.
	faults faults
}

// faults are deliberate defects that tests switch on.
type faults struct {
	leaseFromArrival bool
	noChangeWait     bool
	noRecovery       bool
	ignoreSkipped    bool
	newestListOnly   bool
}

// WithProbePeriod sets the time between two direct probes.
func WithProbePeriod(period clock.Millis) Option {
	return func(o *options) { o.period = period }
}

// WithLease sets how long an answer supports voting. All daemons must use the same.
func WithLease(lease clock.Millis) Option {
	return func(o *options) { o.leaseSpan = lease }
}

// WithQuarantine sets the age below which a process does not vote and is reported as
// quarantined. It should be the longest time for which an opening packet is under way.
func WithQuarantine(quarantine clock.Millis) Option {
	return func(o *options) { o.quarantine = quarantine }
}

// WithBudget sets the limiter that all control bytes go through.
func WithBudget(budget *Budget) Option {
	return func(o *options) { o.budget = budget }
}

func withFaults(f faults) Option {
	return func(o *options) { o.faults = f }
}

// prolong makes a span last at least as long as it does on the slowest clock.
func prolong(span clock.Millis) clock.Millis {
	return span + (span*MaximumDriftPerMille+perMille-1)/perMille + clockResolution
}
