package siblings_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/siblings"
)

// Pattern: all VMs of a large deployment start together and know only the seeds. On
// kinarez-ist-large over 200 of 295 assumed rank 0 after 1.5 s and read the store at the same time.
func TestVMsThatStartTogetherReadOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	const vms = 300
	var seeds []netip.AddrPort
	for i := range 3 {
		seeds = append(seeds, netip.AddrPortFrom(contact(10*i, "a", 1).Address.Addr(), 8166))
	}
	perRank := map[int]int{}
	for i := range vms {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		discovery := siblings.NewDiscovery(contact(i, "a", 1).Address.Addr(), seeds, random)
		rank := discovery.Rank(1600*clock.Millisecond, 0)
		perRank[rank]++
		is.Equal(discovery.Rank(4900*clock.Millisecond, 40), 40) // more VMs read before this one
		is.Equal(discovery.Rank(5*clock.Second, 0), 0)           // it knows the others by now
	}
	for rank := range 3 {
		is.Equal(perRank[rank], 1) // a seed
	}
	for _, count := range perRank {
		is.True(count <= vms/10)
	}
}

// The contacts in a message show the receiver which VMs read the store before it, and to which VMs
// of its domain it can forward views.
func TestContactsNameReadersAndVMsOfTheReceiversDomain(t *testing.T) {
	is := is.New(t)
	m := newMembers(contact(0, "a", 1))
	for i := 1; i < 100; i++ {
		capacity := 1
		if i == 33 || i == 66 {
			capacity = 2
		}
		m.MarkAlive(0, contact(i, string(rune('a'+i%10)), capacity))
	}
	contacts := m.SampleContacts(1, "c")
	is.Equal(len(contacts), 6)
	for _, c := range contacts[:2] {
		is.Equal(c.Capacity, 2)
	}
	for _, c := range contacts[2:] {
		is.Equal(c.Domain, "c")
	}
	is.Equal(len(m.SampleContacts(1, "unknown")), 6)
	is.Equal(len(newMembers(contact(0, "a", 1)).SampleContacts(1, "a")), 0)
}
