package entry

import (
	"github.com/almondflow/almondflow/operator"
)

// reportMetrics updates the metrics with the current values.
func (d *Daemon) reportMetrics() {
	tables, list := d.Versions()
	alive, suspected := 0, 0
	for _, p := range d.peerStates() {
		if p.Alive {
			alive++
		} else {
			suspected++
		}
	}
	sent, received := d.controlTraffic()
	d.metrics.Report(operator.Sample{
		Results:         d.resultCounts(),
		ControlSent:     sent,
		ControlReceived: received,
		PlatformCalls:   d.runner.Counters().Calls,
		AuditRecords:    d.trail.Added(),
		Flows:           d.node.FlowCount(),
		TableVersion:    tables,
		ListVersion:     list,
		PeersAlive:      alive,
		PeersSuspected:  suspected,
		Voting:          d.Voting(),
	})
}

// ControlBytesSent returns the number of bytes of control traffic that the daemon has sent.
func (d *Daemon) ControlBytesSent() uint64 {
	sent, _ := d.controlTraffic()
	return sent
}
