// Package spread chooses targets for new flows by the time that their requests are expected to wait there,
// as far as the reported load of all entry VMs shows it. Its inputs are the work at targets (package load),
// their slots and limits, and the target latency of the callers. It keeps no targets of its own.
package spread
