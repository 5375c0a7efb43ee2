// Package targets decides which targets can take new flows. It combines the results of
// active probes, which a few daemons of each failure domain make, with passive evidence:
// whether targets answer the flows that are placed on them. If the two contradict each
// other, the flows outweigh the probes. The ejected share of a pool is limited.
//
// Monitor is deterministic: it takes the time and events, and returns the probes to start
// and the targets to eject. Only Prober and Runner open sockets.
package targets
