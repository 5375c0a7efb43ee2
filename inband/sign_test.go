package inband_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// sameClient gives a packet the address of another client, as if both flows were of one client or
// behind one address translation.
func sameClient(p *inband.Packet, client int) *inband.Packet {
	p.Key.Client = netip.AddrPortFrom(key(client, feedAddress).Client.Addr(), p.Key.Client.Port())
	return p
}

// Guards against feeds of other clients that are reset after the links of some clients lost datagrams
// (review/3, the first cause of review/1, and the same for more than one client): openings and requests that
// met silence, however many and of however many clients, show no dead target while a probe shows nothing.
func TestSilenceOfClientsIsNoVerdict(t *testing.T) {
	for _, clients := range []int{1, 2, 8} {
		for _, hasOpenings := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d clients, openings: %v", clients, hasOpenings), func(t *testing.T) {
				is := is.New(t)
				e := newEngine(target("i-1", "a"))
				tag := openFlow(e, 99, feedAddress) // idle
				for _, at := range []clock.Millis{1000, 1200, 1600} {
					for flow := range 2 * clients {
						p := data(20+flow, feedAddress, tag, 101, 500)
						if hasOpenings && flow%2 == 0 {
							p = opening(20+flow, feedAddress, uint32(at-1000)/200)
						}
						is.Equal(e.Handle(at, sameClient(p, flow%clients+1)).Action, inband.Forward)
						is.Equal(len(e.EndFlowsOfLostTargets(at)), 0)
					}
					probeSuspects(e, at, inband.Answered)
				}
				is.Equal(len(e.EndFlowsOfLostTargets(1990)), 0)
			})
		}
	}
}

// The longest list of suspicions must fit into one datagram between VMs of 1,400 bytes beside 300
// bytes for its head, or reports would be lost without a trace.
func TestSuspicionsFitIntoOneMessage(t *testing.T) {
	is := is.New(t)
	var targets []*inband.Target
	for i := range 60 {
		targets = append(targets, target(fmt.Sprintf("i-%016x", i), "b"))
		targets[i].StartedAtMS = 1_796_000_000_000
	}
	e := newEngine(targets...)
	for i := range 20 {
		tag := inband.TagOf(targets[i].ID)
		for _, at := range []clock.Millis{1000, 1200} {
			for client := range 8 {
				e.Handle(at, data(8*i+client, feedAddress, tag, 101, 500))
			}
		}
	}
	suspicions := e.TakeSuspicions(1400)
	text, err := json.Marshal(suspicions)
	is.NoErr(err)
	is.Equal(len(suspicions), 9)
	is.True(len(text) <= 1100)
}

// Guards against old silence that adds up with a probe that is silent later: a client that waited eight
// seconds ago may have been answered through another VM since.
func TestOldDataIsNoSign(t *testing.T) {
	for _, pause := range []clock.Millis{500, 8000} {
		t.Run(fmt.Sprintf("%v ms between timeout and probe", pause), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			tag := openFlow(e, 9, feedAddress) // idle
			e.Handle(1000, data(1, feedAddress, tag, 101, 500))
			e.Handle(1200, data(1, feedAddress, tag, 101, 500))
			for at := clock.Millis(1250); at < 1000+pause; at += 250 {
				e.Sweep(at)
			}
			e.ReceiveProbes(1200+pause, "a", []inband.ProbeReport{{ID: "i-1", Outcome: inband.Silent}})
			is.Equal(leaveUnanswered(e, 1205+pause), 1)
			is.Equal(len(e.EndFlowsOfLostTargets(1210+pause)) > 0, pause == 500)
		})
	}
}
