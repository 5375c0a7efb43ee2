package admission

import "github.com/almondflow/almondflow/clock"

// The ramp begins and ends at these fractions of the target latency of the most urgent level. Response
// times spread widely around their mean, so the mean must stay well below the target latency.
const (
	rampStart  = 0.25
	rampLength = 0.5
	// maxRampStart bounds the start if the pool's response time is high without load.
	maxRampStart = 0.5
	// unloadedFactor is how much longer than without load requests take before any is refused.
	unloadedFactor = 1.5
)

// ramp turns an expected response time into pressure: how many of the less urgent levels, counted from the
// least urgent one, are to be refused.
type ramp struct {
	start, end float64 // response times in milliseconds
	levels     int     // that may be refused
}

// newRamp returns the ramp of a pool whose most urgent callers want their answers within the target latency.
// unloaded is the response time without load, or zero.
func newRamp(targetLatency clock.Millis, unloaded float64, levels int) ramp {
	target := float64(targetLatency)
	start := min(max(rampStart*target, unloadedFactor*unloaded), maxRampStart*target)
	return ramp{start: start, end: start + rampLength*target, levels: levels}
}

// pressure returns the pressure at a response time, from zero to the number of levels.
func (r ramp) pressure(responseTime float64) float64 {
	return float64(r.levels) * max(0, min(1, (responseTime-r.start)/(r.end-r.start)))
}

// room returns the share of the remembered pressure that holds at a response time. It falls to zero just below
// the start of the ramp, so that nothing is refused while there is room.
func (r ramp) room(responseTime float64) float64 {
	const margin = 0.25
	return max(0, min(1, (responseTime-(1-margin)*r.start)/(margin*r.start)))
}
