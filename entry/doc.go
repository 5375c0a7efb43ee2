// Package entry implements the daemon of one entry VM. It connects the core to the network:
// Geneve datagrams from the fabric and from other entry VMs, gRPC calls of peers, the
// platform's service and the operator endpoint.
//
// Worker goroutines read datagrams and call the core, which locks one shard of the flow
// table at a time. A single control goroutine owns the membership machine, ticks the core
// and applies new tables and lists. Other goroutines only pass messages to it.
//
// Locks are taken in this order: published.Store, queue, core, placement.
package entry
