package siblings

import (
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

const (
	// maxContactsPerMessage limits the contacts in a message.
	maxContactsPerMessage = 6
	// maxReadersPerMessage limits those of them that are included because they read the store
	// first.
	maxReadersPerMessage = 2
)

// SampleLocal returns up to count random VMs of this VM's failure domain.
func (m *Members) SampleLocal(now clock.Millis, count int) []Contact {
	return m.sample(now, expiryTimeout, count, m.isLocal)
}

// SampleRemote returns up to maxPerDomain random VMs of each other failure domain.
func (m *Members) SampleRemote(now clock.Millis, maxPerDomain int) []Contact {
	taken := map[string]int{}
	return m.sample(now, expiryTimeout, len(m.list), func(known *member) bool {
		domain := known.contact.Domain
		if m.isLocal(known) || taken[domain] >= maxPerDomain {
			return false
		}
		taken[domain]++
		return true
	})
}

// SampleOneRemote returns a random VM of the other failure domains, or none.
func (m *Members) SampleOneRemote(now clock.Millis) []Contact {
	return m.sample(now, expiryTimeout, 1, func(known *member) bool { return !m.isLocal(known) })
}

// SampleDomain returns up to count random VMs of a failure domain that are expected to answer
// a probe.
func (m *Members) SampleDomain(now clock.Millis, domain string, count int) []Contact {
	return m.sample(now, probeWindow, count, func(known *member) bool { return known.contact.Domain == domain })
}

// SampleUnknown returns one of the addresses whose VM is unknown, but only in one of as many calls as VMs are
// known: if each of them calls it once, about one address results, however many they are. A VM that
// has not expired counts as known, because it still gets messages.
func (m *Members) SampleUnknown(addresses []netip.AddrPort) []netip.AddrPort {
	var unknown []netip.AddrPort
	for _, address := range addresses {
		if _, ok := m.members[address]; !ok {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 || m.random.IntN(max(1, len(m.list))) > 0 {
		return nil
	}
	i := m.random.IntN(len(unknown))
	return unknown[i : i+1]
}

// SampleContacts returns VMs that are alive, to be included in a message to a VM of the given
// failure domain. These are the VMs that read the store first, which show the receiver its own
// rank, then random VMs, those of its domain first, as it forwards views to them.
func (m *Members) SampleContacts(now clock.Millis, domain string) []Contact {
	readers := m.firstReaders(now)
	isNew := func(known *member) bool { return !slices.Contains(readers, known) }
	contacts := make([]Contact, 0, maxContactsPerMessage)
	for _, reader := range readers {
		contacts = append(contacts, reader.contactAt(now))
	}
	contacts = append(contacts, m.sample(now, aliveTimeout, maxContactsPerMessage-len(contacts), func(known *member) bool {
		return known.contact.Domain == domain && isNew(known)
	})...)
	return append(contacts, m.sample(now, aliveTimeout, maxContactsPerMessage-len(contacts), func(known *member) bool {
		return known.contact.Domain != domain && isNew(known)
	})...)
}

// firstReaders returns the VMs that read the store first, of those that are alive.
func (m *Members) firstReaders(now clock.Millis) []*member {
	var readers []*member
	for _, known := range m.list {
		if now-known.aliveAt >= aliveTimeout {
			continue
		}
		place := len(readers)
		for place > 0 && known.readsBefore(readers[place-1]) {
			place--
		}
		if place == maxReadersPerMessage {
			continue
		}
		readers = slices.Insert(readers, place, known)
		readers = readers[:min(len(readers), maxReadersPerMessage)]
	}
	return readers
}

// sample returns up to count random VMs of those that are wanted and were alive within the limit.
// It looks at members in random order until it has enough, as there may be thousands of them.
func (m *Members) sample(now, limit clock.Millis, count int, isWanted func(*member) bool) []Contact {
	var sampled []Contact
	for i := 0; i < len(m.list) && len(sampled) < count; i++ {
		m.swap(i, i+m.random.IntN(len(m.list)-i))
		known := m.list[i]
		if now-known.aliveAt < limit && isWanted(known) {
			sampled = append(sampled, known.contactAt(now))
		}
	}
	return sampled
}

// isLocal reports whether a VM is of this VM's failure domain.
func (m *Members) isLocal(known *member) bool { return known.contact.Domain == m.self.contact.Domain }
