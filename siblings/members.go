package siblings

import (
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// Timeouts of contacts, counted from when a VM was last known to be alive.
const (
	// aliveTimeout is how long a VM counts as alive.
	aliveTimeout = 4 * clock.Second
	// probeWindow is how long a VM is expected to answer a probe.
	probeWindow = 10 * clock.Second
	// expiryTimeout is how long messages are still sent to an unresponsive VM, which may only
	// be partitioned.
	expiryTimeout = 60 * clock.Second
)

// member is another entry VM and the last time at which it was known to be alive.
type member struct {
	contact   Contact
	aliveAt   clock.Millis
	readOrder uint64 // hash of the address, which orders VMs of the same capacity
	index     int    // place in Members.list
}

func newMember(c Contact, aliveAt clock.Millis) *member {
	return &member{contact: c, aliveAt: aliveAt, readOrder: hashAddress(c.Address)}
}

// readsBefore reports whether this VM reads the store before another: VMs with more capacity read
// first, ties are broken by a hash of the address.
func (m *member) readsBefore(other *member) bool {
	if m.contact.Capacity != other.contact.Capacity {
		return m.contact.Capacity > other.contact.Capacity
	}
	return m.readOrder < other.readOrder
}

// contactAt returns the contact with its age.
func (m *member) contactAt(now clock.Millis) Contact {
	c := m.contact
	c.AgeMS = now - m.aliveAt
	return c
}

// Members holds the other entry VMs that this VM knows of. It is not safe for concurrent use.
type Members struct {
	self    *member
	random  *rand.Rand
	members map[netip.AddrPort]*member
	list    []*member // all members, in an order that samples shuffle
}

// NewMembers returns an empty set of members for the VM with the contact self.
func NewMembers(self Contact, random *rand.Rand) *Members {
	return &Members{self: newMember(self, 0), random: random, members: map[netip.AddrPort]*member{}}
}

// Self returns the contact of this VM.
func (m *Members) Self() Contact { return m.self.contact }

// MarkAlive records that a VM was alive c.AgeMS ago and reports whether that makes it alive
// after it was unknown or timed out.
func (m *Members) MarkAlive(now clock.Millis, c Contact) bool {
	if c.Address == m.self.contact.Address {
		return false
	}
	aliveAt := now - c.AgeMS
	known, ok := m.members[c.Address]
	if !ok {
		m.add(newMember(c, aliveAt))
		return now-aliveAt < aliveTimeout
	}
	wasAlive := now-known.aliveAt < aliveTimeout
	known.contact = c
	known.aliveAt = max(known.aliveAt, aliveAt)
	return !wasAlive && now-known.aliveAt < aliveTimeout
}

func (m *Members) add(added *member) {
	added.index = len(m.list)
	m.list = append(m.list, added)
	m.members[added.contact.Address] = added
}

// Remove removes a VM that shuts down.
func (m *Members) Remove(address netip.AddrPort) {
	removed, ok := m.members[address]
	if !ok {
		return
	}
	last := len(m.list) - 1
	m.swap(removed.index, last)
	m.list[last] = nil
	m.list = m.list[:last]
	delete(m.members, address)
}

// swap swaps two members in the list.
func (m *Members) swap(i, j int) {
	m.list[i], m.list[j] = m.list[j], m.list[i]
	m.list[i].index, m.list[j].index = i, j
}

// Alive returns the VMs that are alive, ordered by address.
func (m *Members) Alive(now clock.Millis) []Contact {
	return m.aliveWithin(now, aliveTimeout)
}

// CountAlive returns the number of other VMs that are alive.
func (m *Members) CountAlive(now clock.Millis) int {
	return m.count(now, func(*member) bool { return true })
}

// CountLocal returns the number of other VMs in this VM's failure domain that are alive.
func (m *Members) CountLocal(now clock.Millis) int { return m.count(now, m.isLocal) }

// count returns the number of VMs that are alive and counted.
func (m *Members) count(now clock.Millis, isCounted func(*member) bool) int {
	count := 0
	for _, known := range m.list {
		if now-known.aliveAt < aliveTimeout && isCounted(known) {
			count++
		}
	}
	return count
}

// Known returns the VMs that have not expired, ordered by address.
func (m *Members) Known(now clock.Millis) []Contact {
	return m.aliveWithin(now, expiryTimeout)
}

// aliveWithin returns the VMs that were alive within the limit, ordered by address.
func (m *Members) aliveWithin(now, limit clock.Millis) []Contact {
	found := make([]Contact, 0, len(m.members))
	for _, known := range m.members {
		if now-known.aliveAt < limit {
			found = append(found, known.contactAt(now))
		}
	}
	slices.SortFunc(found, func(a, b Contact) int { return a.Address.Compare(b.Address) })
	return found
}

// RemoveExpired removes the VMs that have expired and returns them in no particular order.
func (m *Members) RemoveExpired(now clock.Millis) []Contact {
	var expired []Contact
	for address, known := range m.members {
		if now-known.aliveAt >= expiryTimeout {
			expired = append(expired, known.contact)
			m.Remove(address)
		}
	}
	return expired
}

// Rank returns how many of the VMs that are alive read the store before this one.
func (m *Members) Rank(now clock.Millis) int {
	rank := 0
	for _, known := range m.members {
		if now-known.aliveAt < aliveTimeout && known.readsBefore(m.self) {
			rank++
		}
	}
	return rank
}

// hashAddress hashes an address. VMs of one failure domain have similar addresses, so ordering
// by the hash spreads the VMs that read the store first over the domains.
func hashAddress(address netip.AddrPort) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address.String())) // never returns an error
	return h.Sum64()
}
