package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/ratetest"
)

// slowStartFleet returns engines of one failure domain that share the slow starts of the given targets, each
// of which bears the given new flows per second for a minute.
func slowStartFleet(vms int, rate float64, targets ...*inband.Target) []*inband.Engine {
	all := published(targets...)
	for i := range all {
		all[i].SlowStartUntil = clock.Minute
	}
	limited := tables(1)
	limited.Services = []inband.Service{{Name: "core", SlowStartRate: rate}}
	engines := make([]*inband.Engine, vms)
	for i := range engines {
		engines[i] = inband.New(inband.Options{
			Domain: "a", Policy: inband.Local{}, MaxFlows: 100000, FlowLifetime: clock.Minute, Seed: uint64(i),
			SlowStartRank: func(clock.Millis, string) (rank, count int) { return i, vms },
		})
		engines[i].ReplaceView(limited, all)
	}
	return engines
}

// Load: a crowd opens flows at all VMs while all targets are in slow start. No second brings a target more
// flows than it bears, whatever the number of VMs.
func TestSlowStartIsSharedByAllVMs(t *testing.T) {
	tests := []struct {
		name string
		vms  int
		rate float64
	}{
		{"more flows than VMs", 4, 30},
		{"fewer flows than VMs", 50, 6},
		{"less than a flow per second", 20, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			engines := slowStartFleet(tt.vms, tt.rate, target("i-1", "a"), target("i-2", "a"))
			opened := openEverywhere(engines, 4*clock.Second)
			is.Equal(len(opened), 2)
			for _, times := range opened {
				is.True(float64(ratetest.MostInOneSecond(times)) <= max(1, tt.rate))
			}
		})
	}
}

// openEverywhere lets a client of each VM open a flow every 10 ms, and returns by target when flows were opened.
func openEverywhere(engines []*inband.Engine, end clock.Millis) map[string][]clock.Millis {
	opened := map[string][]clock.Millis{}
	for at := clock.Millis(0); at < end; at += 10 {
		for _, e := range engines {
			v := e.Handle(at, opening(1, feedAddress, 0))
			if v.Action == inband.Forward {
				opened[v.Backend.Target().ID] = append(opened[v.Backend.Target().ID], at)
				e.Handle(at, &inband.Packet{Key: key(1, feedAddress), Flags: inband.Resetting, Tag: v.Tag()})
			}
		}
	}
	return opened
}

// Load: all targets that are left are in slow start and have what they bear. Further openings are refused at
// once: they have not run, and their clients may go elsewhere.
func TestOpeningBeyondAllSlowStartsIsRefused(t *testing.T) {
	is := is.New(t)
	e := slowStartFleet(1, 2, target("i-1", "a"), target("i-2", "a"))[0]
	is.Equal(e.Handle(0, opening(1, feedAddress, 0)).Action, inband.Forward)
	is.Equal(e.Handle(0, opening(2, feedAddress, 0)).Action, inband.Forward)
	v := e.Handle(100, opening(3, feedAddress, 0))
	is.Equal(v.Action, inband.Reset)
	is.Equal(v.Reason, inband.NoTarget)
	is.Equal(e.Handle(500, opening(3, feedAddress, 0)).Action, inband.Forward) // the next one of its share
}

// Without a limit, or without siblings that share it, slow starts are placed as before.
func TestSlowStartWithoutALimit(t *testing.T) {
	is := is.New(t)
	e := slowStartFleet(1, 0, target("i-1", "a"))[0]
	for client := range 20 {
		is.Equal(e.Handle(0, opening(client, feedAddress, 0)).Action, inband.Forward)
	}
}

// Targets of other failure domains are left to the VMs there while they are in slow start.
func TestSlowStartIsLeftToTheOwnDomain(t *testing.T) {
	is := is.New(t)
	e := slowStartFleet(1, 5, target("i-1", "b"))[0]
	is.Equal(e.Handle(0, opening(1, feedAddress, 0)).Reason, inband.NoTarget)
	is.Equal(e.Handle(clock.Minute, opening(2, feedAddress, 0)).Action, inband.Forward) // it is over
}

// Requests of a flow that was opened through another VM count as well.
func TestSlowStartCountsFlowsOpenedElsewhere(t *testing.T) {
	is := is.New(t)
	e := slowStartFleet(1, 1, target("i-1", "a"))[0]
	is.Equal(e.Handle(0, data(1, feedAddress, inband.TagOf("i-1"), 101, 500)).Action, inband.Forward)
	is.Equal(e.Handle(10, opening(2, feedAddress, 0)).Reason, inband.NoTarget)
	is.Equal(e.Handle(1000, opening(3, feedAddress, 0)).Action, inband.Forward)
}

// Load: clients keep their flows open and send a request on each once a second. The target bears the published number
// of requests a second, those of open flows included; the users' limit is 1.5 times that and 5 more. The flows that are open
// when it is reached go on, so others have to wait.
func TestSlowStartCountsRequestsOfOpenFlows(t *testing.T) {
	tests := []struct {
		name string
		vms  int
		rate float64
	}{
		{"one VM", 1, 30},
		{"more flows than VMs", 4, 30},
		{"fewer flows than VMs", 50, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			engines := slowStartFleet(tt.vms, tt.rate, target("i-1", "a"))
			requests := requestOnOpenFlows(engines, 6*clock.Second)
			is.True(float64(ratetest.MostInOneSecond(requests)) <= 1.5*tt.rate+5)
			is.True(float64(len(requests)) >= 5*tt.rate) // and it gets what it bears
		})
	}
}

// requestOnOpenFlows lets a client of each VM try to open a flow every 10 ms. Flows that are open send a request each second,
// which is answered after 50 ms. It returns when the only target got a request.
func requestOnOpenFlows(engines []*inband.Engine, end clock.Millis) []clock.Millis {
	const answerTime = 50
	var requests []clock.Millis
	var flows []*longFlow
	for at := clock.Millis(0); at < end; at += 10 {
		for _, e := range engines {
			p := numberedOpening(len(flows))
			if v := e.Handle(at, p); v.Action == inband.Forward {
				flows = append(flows, &longFlow{engine: e, key: p.Key, tag: v.Tag(), openedAt: at, seq: 101, ack: 1})
			}
		}
		for _, f := range flows {
			since := (at - f.openedAt) % clock.Second
			if since == 0 {
				f.request(at)
				requests = append(requests, at)
			}
			if since == answerTime {
				f.acknowledge(at)
			}
		}
	}
	return requests
}

// longFlow is a flow with many requests.
type longFlow struct {
	engine   *inband.Engine
	key      inband.Key
	tag      inband.Tag
	openedAt clock.Millis
	seq, ack uint32
}

func (f *longFlow) request(at clock.Millis) {
	const bytes = 50
	f.engine.Handle(at, &inband.Packet{Key: f.key, Flags: inband.Acknowledging, Seq: f.seq, Ack: f.ack, Tag: f.tag, DataLength: bytes})
	f.seq += bytes
}

func (f *longFlow) acknowledge(at clock.Millis) {
	f.ack += 1000
	f.engine.Handle(at, &inband.Packet{Key: f.key, Flags: inband.Acknowledging, Seq: f.seq, Ack: f.ack, Tag: f.tag})
}
