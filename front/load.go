package front

import (
	"log/slog"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/siblings"
)

const (
	loadTicks       = 2 // ticks per report to VMs of this VM's failure domain
	remoteLoadTicks = 4 // ticks per report to a VM of another one
	// loadRecipients is the number of VMs that get each report. A VM gets as many on average, whatever the
	// number of VMs.
	loadRecipients = 3
	// remoteReporters is the number of VMs of a failure domain that tell others in a round, on average. All of
	// its VMs know about the same sums.
	remoteReporters = 4
	// maxLoadBytes limits an encoded report, which grows by a third in a message.
	maxLoadBytes = 640
)

// shareLoad tells some VMs of this VM's failure domain what this one has under way.
func (d *Daemon) shareLoad(now clock.Millis) {
	if !d.parts.SharesLoad {
		return
	}
	d.mu.Lock()
	hasMeasured := d.engine.HasMeasuredLoad()
	report := d.engine.TakeLoadReport(now)
	recipients := d.members.SampleLocal(now, loadRecipients)
	d.mu.Unlock()
	if hasMeasured {
		d.sendLoad(&report, recipients)
	}
}

// shareRemoteLoad tells a VM of another failure domain what the VMs of this one have under way, if it falls to
// this VM in this round. The more VMs there are, the less often it does, as bytes between domains are expensive.
func (d *Daemon) shareRemoteLoad(now clock.Millis) {
	if !d.parts.SharesLoad {
		return
	}
	d.mu.Lock()
	if vms := 1 + d.members.CountLocal(now); d.random.IntN(vms) >= remoteReporters {
		d.mu.Unlock()
		return
	}
	report := d.engine.TakeDomainReport(now)
	recipients := d.members.SampleOneRemote(now)
	d.mu.Unlock()
	if len(report.Pools) > 0 {
		d.sendLoad(&report, recipients)
	}
}

func (d *Daemon) sendLoad(report *load.Report, recipients []siblings.Contact) {
	message := siblings.Message{Kind: siblings.Load, Load: load.Encode(report, maxLoadBytes)}
	d.send(message, addressesOf(recipients))
}

// receiveLoad takes in what another VM tells of load.
func (d *Daemon) receiveLoad(now clock.Millis, m *siblings.Message) {
	if !d.parts.SharesLoad {
		return
	}
	report, err := load.Decode(m.Load)
	if err != nil {
		d.logRoutine("load_ignored", "at_ms", now, "source", m.From.Address, "error", err)
		return
	}
	for i := range report.Pools {
		report.Pools[i].Age += transitTime
	}
	d.metrics.loadReceived.Inc(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateMembers(now, m)
	d.engine.MarkReachable(m.From.Domain)
	d.engine.ReceiveLoad(now, m.From.Address, m.From.Domain, report)
}

// loadChange is a change of whether this VM knows the load of others.
type loadChange struct {
	at        clock.Millis
	isChanged bool
	reporters int // VMs whose reports count
}

// updateLoadNews samples the age of what other VMs reported and returns whether any of it counts since the last
// call, or ceased to. The caller holds the lock.
func (d *Daemon) updateLoadNews(now clock.Millis) loadChange {
	reporters := d.engine.LoadReporters(now)
	if reporters > 0 {
		d.metrics.loadAges.RecordValue(float64(d.engine.LoadAge(now)))
	}
	change := loadChange{at: now, isChanged: reporters > 0 != d.knowsLoad, reporters: reporters}
	d.knowsLoad = reporters > 0
	return change
}

// write logs the change.
func (c *loadChange) write(log *slog.Logger) {
	if c.reporters > 0 {
		log.Info("load_known", "at_ms", c.at, "reporters", c.reporters)
		return
	}
	log.Info("load_unknown", "at_ms", c.at)
}
