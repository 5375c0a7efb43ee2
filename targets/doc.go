// Package targets judges which targets can take new flows. It joins the outcomes of
// active probes, made by a few daemons of each failure domain, with passive evidence:
// whether targets answer the flows that they are given. Neither is believed alone where
// the other speaks against it, and the ejected share of a pool is bounded.
//
// Monitor is deterministic: it takes the time and events, and returns the probes to
// start and the targets to eject. Prober and Runner are the edge that opens sockets.
package targets
