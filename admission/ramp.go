package admission

import "github.com/almondflow/almondflow/clock"

// The ramp begins at the first of these fractions of the target latency of more urgent callers, and is as long as the
// second. Response times spread widely around their mean: the mean at the end of the ramp, 7/12 of the target latency,
// leaves room for requests that take more than half as long again.
const (
	rampStart  = 1.0 / 3 // where refusals begin
	rampLength = 0.25    // from the first refusal to all refused
	// maxRampStart bounds the start if the pool's response time is high without load.
	maxRampStart = 0.5
	// unloadedFactor is how much longer than without load requests take before any is refused.
	unloadedFactor = 1.5
)

// ramp turns an expected response time into the share of a level that is refused: none before its start, all
// from its end. The zero value refuses none.
type ramp struct {
	start, end float64 // response times in milliseconds
}

// newRamp returns the ramp of a level whose more urgent callers want their answers within the target latency.
// unloaded is the response time without load, or zero. after is where the ramp of the next less urgent level
// ends: that is refused fully before this one begins.
func newRamp(targetLatency clock.Millis, unloaded, after float64) ramp {
	if targetLatency == 0 {
		return ramp{}
	}
	target := float64(targetLatency)
	start := max(after, min(max(rampStart*target, unloadedFactor*unloaded), maxRampStart*target))
	return ramp{start: start, end: start + rampLength*target}
}

// share returns the share that is refused at a response time.
func (r ramp) share(responseTime float64) float64 {
	if r.end == 0 {
		return 0
	}
	return max(0, min(1, (responseTime-r.start)/(r.end-r.start)))
}
