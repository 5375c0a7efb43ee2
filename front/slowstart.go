package front

import "github.com/almondflow/almondflow/clock"

// slowStartRank returns the place of this VM among those of its failure domain that open flows at a target in
// slow start, and their number. It is zero while few of them are known, as each of several VMs that start
// together would take the whole limit for itself. The caller holds the lock.
func (d *Daemon) slowStartRank(now clock.Millis, targetID string) (rank, vms int) {
	if !d.knowsSiblings(now) {
		return 0, 0
	}
	return d.members.TargetRank(now, targetID)
}
