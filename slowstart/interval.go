// Package slowstart shares the limit on requests to a target that has just started among the entry VMs.
// A limit holds for all VMs together, and there may be more VMs than requests per second. Each VM works out
// its share by itself: VMs that know of the same VMs take shares whose sum is the limit.
package slowstart

import "github.com/almondflow/almondflow/clock"

// Interval returns the least time between two requests of one VM at the target, and false if the VM
// may open no flow there. limit is the requests per second that the target bears, rank is the place of the VM among
// the VMs that may open flows there, in an order that differs by target. All VMs get the same whole number of
// requests per second, and those of the lowest ranks get one more, so that no second holds more than the limit.
func Interval(limit float64, rank, vms int) (clock.Millis, bool) {
	if limit <= 0 || rank < 0 || rank >= vms {
		return 0, false
	}
	if limit < 1 {
		return clock.Millis(float64(clock.Second) / limit), rank == 0
	}
	requests := int(limit)
	share := requests / vms
	if rank < requests%vms {
		share++
	}
	if share == 0 {
		return 0, false
	}
	return (clock.Second + clock.Millis(share) - 1) / clock.Millis(share), true
}
