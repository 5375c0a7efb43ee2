// Package placement chooses targets for new flows. It counts the flows that this entry
// VM owns, bounds them by the limits of the targets, starts cold targets slowly and
// picks by an interchangeable policy. It reads no clock and no socket: callers pass the
// time, so that the same calls always give the same answers.
//
// Locks are taken in this order: Placer.control, then loadTable.writing. Place works on
// an immutable plan and atomic counters. It waits for Placer.control only for a pool whose
// plan the last change of tables, fleet or health has made invalid, and takes
// loadTable.writing only for targets without state, as Opened does.
package placement
