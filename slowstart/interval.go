// Package slowstart shares the limit on new flows of a target that has just started among the entry VMs.
// A limit holds for all VMs together, and there may be more VMs than flows per second. Each VM works out
// its share by itself: VMs that know of the same VMs take shares whose sum is the limit.
package slowstart

import "github.com/almondflow/almondflow/clock"

// Interval returns the least time between two new flows that one VM opens at the target, and false if the VM
// may open none. limit is the flows per second that the target bears, rank is the place of the VM among
// the VMs that may open flows there, in an order that differs by target. All VMs get the same whole number of
// flows per second, and those of the lowest ranks get one more, so that no second holds more than the limit.
func Interval(limit float64, rank, vms int) (clock.Millis, bool) {
	if limit <= 0 || rank < 0 || rank >= vms {
		return 0, false
	}
	if limit < 1 {
		return clock.Millis(float64(clock.Second) / limit), rank == 0
	}
	flows := int(limit)
	share := flows / vms
	if rank < flows%vms {
		share++
	}
	if share == 0 {
		return 0, false
	}
	return (clock.Second + clock.Millis(share) - 1) / clock.Millis(share), true
}
