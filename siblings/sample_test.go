package siblings

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
)

// manyMembers returns members that know of count VMs, evenly in seven failure domains.
func manyMembers(count int) *Members {
	const domains = 7
	contact := func(i int) Contact {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
		return Contact{Address: address, Domain: fmt.Sprintf("d%d", i%domains), Capacity: 1 + i%3}
	}
	m := NewMembers(contact(0), rand.New(rand.NewPCG(1, 2)))
	for i := range count {
		m.MarkAlive(0, contact(i+1))
	}
	return m
}

// BenchmarkSample measures the choice of recipients, during which the VM handles no packets.
func BenchmarkSample(b *testing.B) {
	for _, count := range []int{25, 300, 16_000} {
		m := manyMembers(count)
		b.Run(fmt.Sprintf("local of %d", count), func(b *testing.B) {
			for b.Loop() {
				m.SampleLocal(clock.Second, 3)
			}
		})
		b.Run(fmt.Sprintf("contacts of %d", count), func(b *testing.B) {
			for b.Loop() {
				m.SampleContacts(clock.Second, "d1")
			}
		})
	}
}

// Each VM must be chosen as often as the others, so that no one gets all messages and no one none.
func TestSamplesAreEven(t *testing.T) {
	is := is.New(t)
	const count, samples, perSample = 70, 7000, 3
	m := manyMembers(count)
	chosen := map[netip.AddrPort]int{}
	for range samples {
		sample := m.SampleLocal(clock.Second, perSample)
		is.Equal(len(sample), perSample)
		for _, c := range sample {
			is.Equal(c.Domain, "d0")
			is.Equal(c.AgeMS, clock.Second)
			chosen[c.Address]++
		}
	}
	const local = count / 7
	is.Equal(len(chosen), local)
	for _, times := range chosen {
		is.True(times > samples*perSample/local*9/10)
		is.True(times < samples*perSample/local*11/10)
	}
}

func TestSamplesHoldNoVMTwice(t *testing.T) {
	is := is.New(t)
	m := manyMembers(70)
	for range 100 {
		seen := map[netip.AddrPort]bool{}
		for _, c := range append(m.SampleRemote(clock.Second, 2), m.SampleLocal(clock.Second, 20)...) {
			is.True(!seen[c.Address])
			seen[c.Address] = true
		}
		is.Equal(len(seen), 6*2+10)
	}
}

func TestSamplesLackRemovedAndExpiredVMs(t *testing.T) {
	is := is.New(t)
	m := manyMembers(14)
	removed := m.SampleLocal(0, 1)[0].Address
	m.Remove(removed)
	m.Remove(removed)
	for _, c := range m.Alive(0) {
		if c.Domain != "d0" && c.Domain != "d1" {
			m.MarkAlive(expiryTimeout, c)
		}
	}
	is.Equal(len(m.RemoveExpired(expiryTimeout)), 3)
	is.Equal(len(m.SampleLocal(expiryTimeout, 3)), 0)
	is.Equal(len(m.SampleRemote(expiryTimeout, 3)), 10)
	is.Equal(len(m.SampleContacts(expiryTimeout, "d1")), maxContactsPerMessage)
}
