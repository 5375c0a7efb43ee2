// Package fabric is the UDP layer under the Geneve datagrams that pass between the
// fabric and the entry VMs. It reads and writes datagrams in batches, because a system
// call for each would cost more than all else that is done with a packet.
package fabric

import "net/netip"

// Conn sends and receives datagrams in batches. Several goroutines may use it at once,
// each with batches of its own.
type Conn interface {
	// Read waits for datagrams and replaces what the batch holds by them. After Close
	// it returns an error that wraps net.ErrClosed.
	Read(b *Batch) error
	// Write sends what the batch holds and returns how many datagrams the system
	// refused. It returns an error for the first of those.
	Write(b *Batch) (refused int, err error)
	// Address returns where the Conn receives.
	Address() netip.AddrPort
	// Close ends waiting reads.
	Close() error
}
