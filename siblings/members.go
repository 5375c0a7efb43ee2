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

const (
	// maxContactsPerMessage limits the contacts in a message.
	maxContactsPerMessage = 6
	// maxReadersPerMessage limits those of them that are included because they read the store
	// first.
	maxReadersPerMessage = 2
)

// member is another entry VM and the last time at which it was known to be alive.
type member struct {
	contact   Contact
	aliveAt   clock.Millis
	readOrder uint64 // hash of the address, which orders VMs of the same capacity
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

// Members holds the other entry VMs that this VM knows of. It is not safe for concurrent use.
type Members struct {
	self    *member
	random  *rand.Rand
	members map[netip.AddrPort]*member
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
		m.members[c.Address] = newMember(c, aliveAt)
		return now-aliveAt < aliveTimeout
	}
	wasAlive := now-known.aliveAt < aliveTimeout
	known.contact = c
	known.aliveAt = max(known.aliveAt, aliveAt)
	return !wasAlive && now-known.aliveAt < aliveTimeout
}

// Remove removes a VM that shuts down.
func (m *Members) Remove(address netip.AddrPort) { delete(m.members, address) }

// Alive returns the VMs that are alive, ordered by address.
func (m *Members) Alive(now clock.Millis) []Contact {
	return m.aliveWithin(now, aliveTimeout)
}

// CountLocal returns the number of other VMs in this VM's failure domain that are alive.
func (m *Members) CountLocal(now clock.Millis) int {
	count := 0
	for _, known := range m.members {
		if now-known.aliveAt < aliveTimeout && known.contact.Domain == m.self.contact.Domain {
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
			c := known.contact
			c.AgeMS = now - known.aliveAt
			found = append(found, c)
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
			delete(m.members, address)
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

// SampleLocal returns up to count random VMs of this VM's failure domain.
func (m *Members) SampleLocal(now clock.Millis, count int) []Contact {
	return m.sample(m.Known(now), count, func(c Contact) bool { return c.Domain == m.self.contact.Domain })
}

// SampleRemote returns up to maxPerDomain random VMs of each other failure domain.
func (m *Members) SampleRemote(now clock.Millis, maxPerDomain int) []Contact {
	known := m.Known(now)
	taken := map[string]int{}
	return m.sample(known, len(known), func(c Contact) bool {
		if c.Domain == m.self.contact.Domain || taken[c.Domain] >= maxPerDomain {
			return false
		}
		taken[c.Domain]++
		return true
	})
}

// SampleDomain returns up to count random VMs of a failure domain that are expected to answer
// a probe.
func (m *Members) SampleDomain(now clock.Millis, domain string, count int) []Contact {
	return m.sample(m.aliveWithin(now, probeWindow), count, func(c Contact) bool { return c.Domain == domain })
}

// sample shuffles contacts in place and returns up to count of those that are wanted.
func (m *Members) sample(contacts []Contact, count int, isWanted func(Contact) bool) []Contact {
	m.random.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	var sampled []Contact
	for _, c := range contacts {
		if len(sampled) < count && isWanted(c) {
			sampled = append(sampled, c)
		}
	}
	return sampled
}

// SampleUnknown returns one of the addresses whose VM is not known to be alive, but only in one of as many calls as
// VMs are alive: if each of them calls it once, about one address results, however many they are.
func (m *Members) SampleUnknown(now clock.Millis, addresses []netip.AddrPort) []netip.AddrPort {
	alive := m.Alive(now)
	var unknown []netip.AddrPort
	for _, address := range addresses {
		if !slices.ContainsFunc(alive, func(c Contact) bool { return c.Address == address }) {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 || m.random.IntN(max(1, len(alive))) > 0 {
		return nil
	}
	i := m.random.IntN(len(unknown))
	return unknown[i : i+1]
}

// SampleContacts returns VMs that are alive, to be included in a message to a VM of the given
// failure domain. These are the VMs that read the store first, which show the receiver its own
// rank, then random VMs, those of its domain first, as it forwards views to them.
func (m *Members) SampleContacts(now clock.Millis, domain string) []Contact {
	alive := m.Alive(now)
	m.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for i := range min(maxReadersPerMessage, len(alive)) {
		m.moveFirstReader(alive[i:])
	}
	for i := min(maxReadersPerMessage, len(alive)); i < min(maxContactsPerMessage, len(alive)); i++ {
		local := slices.IndexFunc(alive[i:], func(c Contact) bool { return c.Domain == domain })
		if local < 0 {
			break
		}
		alive[i], alive[i+local] = alive[i+local], alive[i]
	}
	return alive[:min(maxContactsPerMessage, len(alive))]
}

// moveFirstReader swaps the contact that reads the store first with the first one.
func (m *Members) moveFirstReader(contacts []Contact) {
	first := 0
	for i := range contacts {
		if m.members[contacts[i].Address].readsBefore(m.members[contacts[first].Address]) {
			first = i
		}
	}
	contacts[0], contacts[first] = contacts[first], contacts[0]
}
