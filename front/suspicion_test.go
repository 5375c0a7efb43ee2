package front

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

var (
	modelRoute = netip.MustParseAddrPort("198.18.0.1:8443")
	deadTarget = "i-0"
)

const (
	modelStart      = clock.Second             // the first feed's request
	requestInterval = 300 * clock.Millisecond  // between the requests of two feeds
	requestDeadline = 1500 * clock.Millisecond // when a client gives up
)

// domainModel is a failure domain whose VMs exchange suspicions without loss or delay. One target accepts
// no connections; its probes are silent.
type domainModel struct {
	engines   []*inband.Engine
	addresses []netip.AddrPort
	random    *rand.Rand
	out       []probeOut
}

// probeOut is a probe that has no outcome yet.
type probeOut struct {
	vm     int
	sentAt clock.Millis
	probe  *inband.TargetProbe
}

func newDomainModel(vms, targets int, seed uint64) *domainModel {
	m := &domainModel{random: rand.New(rand.NewPCG(seed, 1))}
	tables := &inband.Tables{Version: 1, IdleMS: 15000, Routes: []inband.Route{
		{Name: "feed", Address: modelRoute, Repeatable: true, Shares: []inband.Share{{Service: "core", Weight: 1}}},
	}}
	var published []inband.Published
	for i := range targets {
		published = append(published, inband.Published{Target: &inband.Target{ID: fmt.Sprintf("i-%d", i), Service: "core", Domain: "a", Slots: 2}})
	}
	for vm := range vms {
		e := inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 100, FlowLifetime: clock.Minute, Seed: uint64(vm)})
		e.ReplaceView(tables, published)
		e.ReceiveProbes(0, "a", []inband.ProbeReport{{ID: deadTarget, Outcome: inband.Answered}})
		m.engines = append(m.engines, e)
		m.addresses = append(m.addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(vm)}), 7720))
	}
	return m
}

// isProber reports whether a VM probes the dead target.
func (m *domainModel) isProber(vm int) bool {
	return slices.Contains(siblings.Probers(deadTarget, m.addresses), m.addresses[vm])
}

// sample returns as many VMs as a daemon sends suspicions to.
func (m *domainModel) sample() []int {
	return m.random.Perm(len(m.engines))[:min(maxSuspicionRecipients, len(m.engines))]
}

// tell sends suspicions of one VM to the VMs that probe the target, and those of openings also to as many
// others as a daemon does. VMs that know it to be dead say so.
func (m *domainModel) tell(now clock.Millis, from int, suspicions []inband.Suspicion) {
	if len(suspicions) == 0 {
		return
	}
	sampled := m.sample()
	for vm, e := range m.engines {
		if vm == from || !m.isProber(vm) && (suspicions[0].OpeningTimeouts == 0 || !slices.Contains(sampled, vm)) {
			continue
		}
		e.ReceiveSuspicions(now, m.addresses[from], "a", suspicions)
		m.engines[from].ReceiveProbes(now, "a", e.KnownOutcomes(now, suspicions))
	}
}

// probe starts the probes that are due, and ends those that were silent for long enough.
func (m *domainModel) probe(now clock.Millis) {
	for len(m.out) > 0 && now-m.out[0].sentAt >= clock.FromDuration(connectTimeout) {
		m.endProbe(now, m.out[0])
		m.out = m.out[1:]
	}
	for vm, e := range m.engines {
		if len(e.SuspectsToProbe(now, func(string) bool { return m.isProber(vm) })) == 0 {
			continue
		}
		m.out = append(m.out, probeOut{vm, now, e.StartProbe(now, deadTarget)})
	}
}

func (m *domainModel) endProbe(now clock.Millis, p probeOut) {
	e := m.engines[p.vm]
	e.RecordProbe(now, inband.ProbeResult{Probe: p.probe, SentAt: p.sentAt, Outcome: inband.Silent})
	report, reporters := e.ReportOf(now, deadTarget)
	sampled := m.sample()
	for vm, other := range m.engines {
		if vm != p.vm && (m.isProber(vm) || slices.Contains(reporters, m.addresses[vm]) || slices.Contains(sampled, vm)) {
			other.ReceiveProbes(now, "a", []inband.ProbeReport{*report})
		}
	}
}

// tick does what the periodic tasks of all VMs do. It marks the VMs whose feed is reset in time.
func (m *domainModel) tick(now clock.Millis, isReset map[int]bool) {
	m.probe(now)
	for vm, e := range m.engines {
		m.tell(now, vm, e.TakeSuspicions(now))
		if len(e.EndFlowsOfLostTargets(now)) > 0 && now-sentAt(vm) < requestDeadline {
			isReset[vm] = true
		}
	}
}

// sentAt returns when the client of the feed at a VM sends its request.
func sentAt(vm int) clock.Millis { return modelStart + clock.Millis(vm)*requestInterval }

// isSending reports whether a client sends its request, or a copy of it, to a VM now.
func isSending(now clock.Millis, vm int) bool {
	return slices.Contains([]clock.Millis{0, 200, 600, 1400}, now-sentAt(vm))
}

// request sends a feed's request, or a copy of it, through the VM that has its flow.
func (m *domainModel) request(now clock.Millis, vm int) bool {
	p := &inband.Packet{
		Key:   inband.Key{Client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(vm)}), 1000), Destination: modelRoute},
		Flags: inband.Acknowledging, Seq: 101, Ack: 500, Tag: inband.TagOf(deadTarget), DataLength: 50,
	}
	return m.engines[vm].Handle(now, p).Action == inband.Reset
}

// Pattern: a target of a large deployment dies, and each of its flows goes through another VM. On
// kinarez-ist-large trouble-2, 754 feeds waited for their deadline, as a VM that has a single flow
// of the target needs to hear of it from others. Nine of ten feeds must be reset before.
func TestSuspicionsReachMostVMsOfADomain(t *testing.T) {
	is := is.New(t)
	const (
		vms, targets, feeds = 50, 100, 10
		runs                = 20
	)
	resets := 0
	for seed := range uint64(runs) {
		m := newDomainModel(vms, targets, seed)
		isReset := map[int]bool{} // by VM
		for now := modelStart; now < 7*clock.Second; now += 50 * clock.Millisecond {
			if now%clock.Second == 0 { // an opening met silence at a VM without feeds
				m.tell(now, feeds+int(now/clock.Second), []inband.Suspicion{{ID: deadTarget, OpeningTimeouts: 1}})
			}
			for vm := range feeds {
				if isSending(now, vm) && !isReset[vm] {
					isReset[vm] = m.request(now, vm)
				}
			}
			m.tick(now, isReset)
		}
		for _, done := range isReset {
			if done {
				resets++
			}
		}
	}
	t.Logf("%d of %d feeds reset in time", resets, runs*feeds)
	is.True(resets >= runs*feeds*9/10)
}
