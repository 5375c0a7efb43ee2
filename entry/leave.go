package entry

import (
	"context"
	"time"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
)

const (
	// handOverInterval is the pause between two rounds of handing over.
	handOverInterval = 50 * time.Millisecond
	// lingerSpan is how long a daemon that has handed over goes on passing packets that
	// are under way to it.
	lingerSpan = clock.Second
)

// leave tells the peers, hands records over and goes on serving for a while. It ends
// within the configured time whatever is left.
func (d *Daemon) leave(serving context.Context) {
	d.leaving.Store(true)
	d.trail.Add(operator.ChangedState, d.config.Name, "serving", "leaving", "signal")
	d.driver.Do(serving, func(now clock.Millis, m *member.Machine) { m.Leave(now) })
	out := d.newSink()
	begin := d.clock.Now()
	quiet := begin
	var left int
	for {
		now := d.clock.Now()
		left = d.node.HandOver(now, out, nil)
		out.Flush()
		if left > 0 {
			quiet = now
		}
		if now-quiet >= lingerSpan || now-begin >= d.config.StopTimeout {
			break
		}
		if !d.pause(handOverInterval) {
			return
		}
	}
	after := "left"
	if left > 0 {
		after = "left before all flows were handed over"
	}
	d.trail.Add(operator.ChangedState, d.config.Name, "leaving", after, "signal")
}

// pause waits and reports false when the daemon was killed meanwhile.
func (d *Daemon) pause(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-d.killed:
		return false
	case <-timer.C:
		return true
	}
}
