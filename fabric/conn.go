// Package fabric sends and receives the Geneve datagrams between the fabric and the entry
// VMs over UDP. It reads and writes datagrams in batches, because one system call for each
// datagram would cost more than all other work on a packet.
package fabric

import "net/netip"

// Conn sends and receives datagrams in batches. It is safe for concurrent use, provided
// that each goroutine uses its own batches.
type Conn interface {
	// Read waits for datagrams and replaces the contents of the batch with them. After
	// Close it returns an error that wraps net.ErrClosed.
	Read(b *Batch) error
	// Write sends the datagrams of the batch. It returns how many could not be sent and
	// the error of the first of those.
	Write(b *Batch) (failed int, err error)
	// Address returns the local address.
	Address() netip.AddrPort
	// Close closes the Conn and ends pending reads.
	Close() error
}
