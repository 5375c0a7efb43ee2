package fabric

import (
	"net"
	"net/netip"
	"sync"
)

// FakeNetwork connects Fakes in memory, for tests of code that uses a Conn.
type FakeNetwork struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*Fake
}

// NewFakeNetwork returns a network without Conns.
func NewFakeNetwork() *FakeNetwork {
	return &FakeNetwork{conns: make(map[netip.AddrPort]*Fake)}
}

// Listen returns a Conn that receives at an address. It replaces an earlier Conn of the
// same address.
func (n *FakeNetwork) Listen(address netip.AddrPort) *Fake {
	f := &Fake{network: n, address: address}
	f.arrived = sync.NewCond(&f.mu)
	n.mu.Lock()
	n.conns[address] = f
	n.mu.Unlock()
	return f
}

// conn returns the Conn at an address, or nil if there is none.
func (n *FakeNetwork) conn(address netip.AddrPort) *Fake {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[address]
}

// Fake is a Conn in memory. It loses no datagrams and keeps their order.
type Fake struct {
	network  *FakeNetwork
	address  netip.AddrPort
	mu       sync.Mutex
	arrived  *sync.Cond
	queue    []fakeDatagram
	isClosed bool
}

type fakeDatagram struct {
	bytes []byte
	from  netip.AddrPort
}

// Read implements Conn.
func (f *Fake) Read(b *Batch) error {
	b.Reset()
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.queue) == 0 && !f.isClosed {
		f.arrived.Wait()
	}
	if f.isClosed {
		return net.ErrClosed
	}
	for len(f.queue) > 0 && !b.IsFull() {
		d := f.queue[0]
		f.queue = f.queue[1:]
		s := &b.slots[b.length]
		s.set(copy(s.buffer, d.bytes), d.from)
		s.isTruncated = len(d.bytes) > len(s.buffer)
		b.length++
	}
	return nil
}

// Write implements Conn. It discards datagrams to an address without a Conn.
func (f *Fake) Write(b *Batch) (int, error) {
	for i := range b.Len() {
		if to := f.network.conn(b.Address(i)); to != nil {
			to.deliver(b.Datagram(i), f.address)
		}
	}
	return 0, nil
}

func (f *Fake) deliver(datagram []byte, from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = append(f.queue, fakeDatagram{append([]byte(nil), datagram...), from})
	f.arrived.Signal()
}

// Address implements Conn.
func (f *Fake) Address() netip.AddrPort { return f.address }

// Close implements Conn.
func (f *Fake) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isClosed = true
	f.arrived.Broadcast()
	return nil
}
