package entry

import (
	"context"
	"time"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
)

const (
	// handOverInterval is the time between two rounds of handing over flows.
	handOverInterval = 50 * time.Millisecond
	// drainPeriod is how long a daemon still forwards packets in transit to it after all
	// flows are handed over.
	drainPeriod = clock.Second
)

// shutDown announces the shutdown to the peers, hands all flow records over and forwards
// packets for another drainPeriod. It returns after StopTimeout even if records remain, and
// at once after Kill.
func (d *Daemon) shutDown(servingCtx context.Context) {
	d.leaving.Store(true)
	d.trail.Add(operator.ChangedState, d.config.Name, "serving", "leaving", "signal")
	d.driver.Do(servingCtx, func(now clock.Millis, m *member.Machine) { m.Leave(now) })
	sink := d.newSink()
	start := d.clock.Now()
	idleSince := start
	var remaining int
	for {
		now := d.clock.Now()
		remaining = d.node.HandOver(now, sink, nil)
		sink.Flush()
		if remaining > 0 {
			idleSince = now
		}
		if now-idleSince >= drainPeriod || now-start >= d.config.StopTimeout {
			break
		}
		if !d.sleep(handOverInterval) {
			return
		}
	}
	after := "left"
	if remaining > 0 {
		after = "left before all flows were handed over"
	}
	d.trail.Add(operator.ChangedState, d.config.Name, "leaving", after, "signal")
}

// sleep waits for the duration. It returns false early if the daemon is killed.
func (d *Daemon) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-d.killed:
		return false
	case <-timer.C:
		return true
	}
}
