// Package entry is the daemon of one entry VM. It joins the core to sockets: Geneve
// datagrams from the fabric and from other entry VMs, grpc calls of peers, the
// platform's service and the operator endpoint.
//
// Goroutines: workers read datagrams and call the core, which locks one shard of the
// flow table at a time. One control goroutine owns the membership, ticks the core and
// puts tables and lists in force. Others only hand it messages. Locks are taken in this
// order: platform.Store, Daemon.queue, core, placement; an outbox has a lock of its own
// that is taken last.
package entry
