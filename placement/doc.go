// Package placement chooses targets for new flows. It counts the flows that this entry VM
// owns, keeps them within the limits of the targets, slowly raises the load of targets
// that have just started, and selects among the candidates with an interchangeable policy.
// The package is deterministic: it reads no clock and no socket, and callers pass the
// time.
//
// Locks are taken in this order: Placer.control, then loadTable.writing. Place works on an
// immutable plan and atomic counters. It waits for Placer.control only if a change of the
// tables, the fleet or the health has invalidated the plan of the pool, and it takes
// loadTable.writing only for a target that has no state yet, as AddFlow does.
package placement
