package siblings_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

func contact(i int, domain string, capacity int) siblings.Contact {
	return siblings.Contact{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7720", i/250, i%250+1)), Domain: domain, Capacity: capacity}
}

func newMembers(self siblings.Contact) *siblings.Members {
	return siblings.NewMembers(self, rand.New(rand.NewPCG(1, 1)))
}

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	m := siblings.Message{
		Kind: siblings.Announce, From: contact(1, "a", 3),
		View:       &siblings.ViewSummary{Revision: 9, AgeMS: 30, Version: 4, Digest: 1 << 63},
		Targets:    []*inband.Target{{ID: "i-1", State: inband.Leaving, Address: netip.MustParseAddrPort("10.1.0.1:80")}},
		Drains:     []drain.Mark{{Domain: "a", Revision: 8}, {Domain: "b", Revision: 9, HasEnded: true}},
		Contacts:   []siblings.Contact{contact(2, "b", 1)},
		Suspicions: []inband.Suspicion{{ID: "i-2", StartedAtMS: 7}},
		Outcomes:   []inband.OutcomeReport{{ID: "i-3", StartedAtMS: 8, Succeeded: 1, Failed: 2}},
	}
	data, err := siblings.Encode(m)
	is.NoErr(err)
	decoded, err := siblings.Decode(data)
	is.NoErr(err)
	is.Equal(*decoded, m)
}

func TestEncodeTruncatesLargeMessages(t *testing.T) {
	is := is.New(t)
	m := siblings.Message{Kind: siblings.Announce, From: contact(1, "a", 3), View: &siblings.ViewSummary{Revision: 9}}
	m.Drains = []drain.Mark{{Domain: "a", Revision: 8}}
	for i := range 100 {
		m.Targets = append(m.Targets, &inband.Target{ID: fmt.Sprintf("i-%d", i)})
		m.Contacts = append(m.Contacts, contact(i, "b", 1))
	}
	data, err := siblings.Encode(m)
	is.NoErr(err)
	is.True(len(data) <= siblings.MaxMessageBytes)
	decoded, err := siblings.Decode(data)
	is.NoErr(err)
	is.True(len(decoded.Targets) > 0)
	is.Equal(decoded.Drains, m.Drains) // they are the last content to be left out
	is.Equal(decoded.View, m.View)
}

func TestEncodeLeavesLoadOutFirst(t *testing.T) {
	is := is.New(t)
	m := siblings.Message{Kind: siblings.Load, From: contact(1, "a", 3), Contacts: []siblings.Contact{contact(2, "b", 1)}, Load: make([]byte, 640)}
	data, err := siblings.Encode(m)
	is.NoErr(err)
	decoded, err := siblings.Decode(data)
	is.NoErr(err)
	is.Equal(*decoded, m)
	m.Load = make([]byte, siblings.MaxMessageBytes)
	data, err = siblings.Encode(m)
	is.NoErr(err)
	decoded, err = siblings.Decode(data)
	is.NoErr(err)
	is.Equal(decoded.Load, nil)
	is.Equal(decoded.Contacts, m.Contacts)
}

// Guards against fields that differ in case, or occur twice, being taken for ones of the message.
func TestMisspelledFieldsOfAMessage(t *testing.T) {
	is := is.New(t)
	m, err := siblings.Decode([]byte(`{"kind":"hello","from":{"address":"10.0.0.1:7720","Domain":"a"},"Targets":[{"id":"i-1"}],"View":{}}`))
	is.NoErr(err)
	is.Equal(m.From.Domain, "")
	is.Equal(len(m.Targets), 0)
	is.True(m.View == nil)
}

func TestDecodeRejectsMalformedMessages(t *testing.T) {
	for _, text := range []string{
		"", "x", "{}", `{"kind":"hello","from":{"address":"x"}}`, `[1]`, `{"kind":"hello","FROM":{"address":"10.0.0.1:7720"}}`,
		`{"kind":"hello","from":{"address":"10.0.0.1:7720"},"from":{"address":"10.0.0.2:7720"}}`,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := siblings.Decode([]byte(text))
			is.True(err != nil)
		})
	}
}

func TestRanksAreUnique(t *testing.T) {
	is := is.New(t)
	const vms = 40
	ranks := map[int]int{}
	primaryReader := -1
	for i := range vms {
		m := newMembers(contact(i, "a", i%3))
		for j := range vms {
			m.MarkAlive(0, contact(j, "a", j%3))
		}
		ranks[m.Rank(1)]++
		if m.Rank(1) == 0 {
			primaryReader = i
		}
	}
	is.Equal(len(ranks), vms)
	is.Equal(primaryReader%3, 2) // VMs with the most capacity read first
}

func TestMembersExpire(t *testing.T) {
	is := is.New(t)
	m := newMembers(contact(0, "a", 1))
	is.True(m.MarkAlive(0, contact(1, "a", 1)))
	is.True(!m.MarkAlive(0, contact(1, "a", 1)))
	is.Equal(len(m.Alive(5*clock.Second)), 0)
	is.Equal(len(m.Known(5*clock.Second)), 1) // it may only be partitioned
	is.True(m.MarkAlive(6*clock.Second, contact(1, "a", 1)))
	is.Equal(len(m.RemoveExpired(70*clock.Second)), 1)
	is.Equal(len(m.Known(70*clock.Second)), 0)
}

// A contact that another VM forwards counts from when that VM last knew it to be alive.
func TestMarkAliveKeepsReportedAge(t *testing.T) {
	is := is.New(t)
	m := newMembers(contact(0, "a", 1))
	stale := contact(1, "a", 1)
	stale.AgeMS = 5 * clock.Second
	is.True(!m.MarkAlive(10*clock.Second, stale))
	is.Equal(len(m.Alive(10*clock.Second)), 0)
}

func TestSampleByDomain(t *testing.T) {
	is := is.New(t)
	m := newMembers(contact(0, "a", 1))
	for i := 1; i < 40; i++ {
		m.MarkAlive(0, contact(i, string(rune('a'+i%4)), 1))
	}
	for _, c := range m.SampleLocal(1, 5) {
		is.Equal(c.Domain, "a")
	}
	is.Equal(len(m.SampleLocal(1, 5)), 5)
	perDomain := map[string]int{}
	for _, c := range m.SampleRemote(1, 2) {
		perDomain[c.Domain]++
	}
	is.Equal(perDomain, map[string]int{"b": 2, "c": 2, "d": 2})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"hello","from":{"address":"10.0.0.1:1","domain":"a"},"targets":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := siblings.Decode(data)
		if err != nil {
			return
		}
		for _, target := range m.Targets {
			if target == nil {
				t.Fatal("decoded message contains a nil target")
			}
		}
	})
}

// Pattern: a seed is down for long in a large deployment. All VMs together contact it about once per heartbeat
// interval, so that a VM that starts there is soon known, and the messages do not grow with the deployment.
func TestUnknownSeedsAreContactedByTheWholeDeployment(t *testing.T) {
	for _, vms := range []int{2, 9, 300} {
		is := is.New(t)
		members := newMembers(contact(0, "a", 1))
		for i := 1; i < vms; i++ {
			members.MarkAlive(0, contact(i, "a", 1))
		}
		known, unknown := contact(1, "a", 1).Address, contact(vms+1, "a", 1).Address
		const intervals = 60
		sampled := 0
		for range vms * intervals {
			for _, address := range members.SampleUnknown([]netip.AddrPort{known, unknown}) {
				is.Equal(address, unknown)
				sampled++
			}
		}
		is.True(sampled >= intervals/2 && sampled <= 2*intervals)
		is.Equal(len(members.SampleUnknown([]netip.AddrPort{known})), 0)
	}
}
