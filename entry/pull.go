package entry

import (
	"context"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/published"
)

// maxRetiredPulls is the number of peers that a daemon pulls the retired hosts from after
// its start.
const maxRetiredPulls = 3

// pull fetches a version of a document above since from a peer and offers it to the store.
// It returns the verdict of the store, or 0 if the call failed.
func (c *controlLoop) pull(ctx context.Context, from *fleet.VM, name string, since uint64) published.Verdict {
	d := c.daemon
	document, err := d.peers.Pull(ctx, from, name, since)
	if err != nil {
		d.log.Debug("pull failed", "peer", from.Name(), "name", name, "error", err)
		return 0
	}
	verdict, err := d.store.Offer(d.clock.Now(), from.Name(), name, document.Version(), document.Data())
	if err != nil && verdict != published.NeedsFullDocument {
		d.log.Error("version refused", "peer", from.Name(), "name", name, "version", document.Version(),
			"verdict", verdict.String(), "error", err)
	}
	return verdict
}

// MessageReceived handles the reports and versions in a message of a peer. It implements
// peers.Observer.
func (c *controlLoop) MessageReceived(now clock.Millis, from fleet.ID, m *member.Message) {
	c.daemon.health.mergeReports(now, m)
	for _, v := range m.Versions {
		if v.Confirmed {
			c.daemon.runner.ReceivePeerVersion(now, v.Name, v.Number, v.ConfirmedAge)
		}
	}
	c.queueRetiredPull(from)
}

// queueRetiredPull queues a pull of the retired hosts from a peer. Flows of retired hosts may
// still be open, but a daemon that has just started knows no such hosts and the platform
// doesn't list them.
func (c *controlLoop) queueRetiredPull(from fleet.ID) {
	if len(c.retiredQueued) == maxRetiredPulls || c.retiredQueued[from] || c.tableVersion.Load() == 0 || c.controller.Ranking() == nil {
		return
	}
	vm, listed := c.controller.Ranking().List().Find(from)
	if !listed {
		return
	}
	c.retiredQueued[from] = true
	c.retiredPulls <- vm // never blocks: the capacity is maxRetiredPulls
}

// pullRetired pulls the retired hosts from the queued peers. It returns after maxRetiredPulls
// pulls or when ctx is done.
func (c *controlLoop) pullRetired(ctx context.Context) {
	for range maxRetiredPulls {
		select {
		case <-ctx.Done():
			return
		case vm := <-c.retiredPulls:
			c.pull(ctx, vm, published.Retired, 0)
		}
	}
}

// confirmedVersions returns the current versions and how long ago the platform was last
// known to have no newer ones.
func (c *controlLoop) confirmedVersions(now clock.Millis) []member.Version {
	numbers := map[string]uint64{published.Tables: c.tableVersion.Load(), published.List: c.listVersion.Load()}
	var versions []member.Version
	for _, name := range []string{published.Tables, published.List} {
		if numbers[name] == 0 {
			continue
		}
		v := member.Version{Name: name, Number: numbers[name]}
		v.ConfirmedAge, v.Confirmed = c.daemon.runner.ConfirmedAge(now, name)
		versions = append(versions, v)
	}
	return versions
}
