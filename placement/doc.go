// Package placement chooses targets for new flows. It counts the flows that this entry
// VM owns, bounds them by the limits of the targets, starts cold targets slowly and
// picks by an interchangeable policy. It reads no clock and no socket: callers pass the
// time, so that the same calls always give the same answers.
//
// Locks are taken in this order: Placer.control, then Placer.strayLock. Place, Opened,
// Closed and Observe work on an immutable view and atomic counters; they only try
// Placer.control, never wait for it, and take Placer.strayLock only for targets that no
// table known here has named.
package placement
