package control

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/steer"
)

// NewCoreRateLimiter returns a core.RateLimiter that charges messages without a packet to the
// rate limiter of control traffic. Votes take precedence over repair, because a client waits
// for them.
func NewCoreRateLimiter(limiter *member.RateLimiter) core.RateLimiter {
	return func(now clock.Millis, kind steer.Kind, bytes int) bool {
		return limiter.Allow(now, trafficClass(kind), bytes)
	}
}

// trafficClass returns the class of control traffic for a kind of message.
func trafficClass(kind steer.Kind) member.Class {
	switch kind {
	case steer.Prepare, steer.Promise, steer.Reject, steer.DecidedFlows:
		return member.ClassSuspicion
	default:
		return member.ClassRepair
	}
}
