package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
)

// daemon combines a driver, a client and a server as an entry VM's daemon does.
type daemon struct {
	*Driver
	echo
	name    string
	limiter *member.RateLimiter
	traffic *Traffic
	events  chan member.Event
	pulled  chan string
}

func (d *daemon) Exchange(ctx context.Context, from fleet.ID, m *member.Message) *member.Message {
	return d.Driver.Exchange(ctx, from, m)
}

func (d *daemon) AfterTick(clock.Millis, *member.Machine)                    {}
func (d *daemon) MessageReceived(clock.Millis, fleet.ID, *member.Message)    {}
func (d *daemon) Pull(_ context.Context, _ *fleet.VM, name string, _ uint64) { d.pulled <- name }

func (d *daemon) HandleEvent(e member.Event) {
	select {
	case d.events <- e:
	default:
	}
}

// startDaemon starts a daemon on a free port and returns its VM.
func startDaemon(tb testing.TB, c clock.Clock, name string, identity *IdentityHolder) (*daemon, fleet.VM) {
	tb.Helper()
	d := &daemon{
		name: name, limiter: member.NewRateLimiter(c.Now(), member.DefaultControlRate), traffic: &Traffic{},
		events: make(chan member.Event, 1000), pulled: make(chan string, 10),
	}
	opts := []Option{WithRateLimiter(c, d.limiter), WithTraffic(d.traffic)}
	client := NewClient(fleet.NewID(name), identity, opts...)
	tb.Cleanup(client.Close)
	d.Driver = NewDriver(c, client, d, func(now clock.Millis, sink member.Sink) *member.Machine {
		random := rand.New(rand.NewPCG(1, uint64(fleet.NewID(name))))
		return member.New(fleet.NewID(name), 1, now, random, sink, member.WithRateLimiter(d.limiter))
	})
	go d.Run(tb.Context())
	return d, serve(tb, name, identity, d, opts...)
}

// TestDaemonsExchangeMessages checks that a daemon learns of a newer list from another one, and
// that the answer to a probe is returned by the same call.
func TestDaemonsExchangeMessages(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	c := clock.NewSystem()
	first, vm1 := startDaemon(t, c, "vm-1", NewIdentityHolder(ca.issue(t, "vm-1", ca)))
	second, vm2 := startDaemon(t, c, "vm-2", NewIdentityHolder(ca.issue(t, "vm-2", ca)))
	is.True(first.SetList(t.Context(), fleet.NewList(1, []fleet.VM{vm1, vm2})))
	is.True(second.SetList(t.Context(), fleet.NewList(2, []fleet.VM{vm1, vm2})))
	is.Equal(<-first.pulled, member.ListName) // the second daemon's list is newer

	client := NewClient(vm2.ID(), NewIdentityHolder(ca.issue(t, "vm-2", ca)))
	defer client.Close()
	answer, err := client.Exchange(t.Context(), &vm1, &member.Message{Kind: member.Probe, Sequence: 9})
	is.NoErr(err)
	is.Equal(answer.Kind, member.Answer)
	is.Equal(answer.Sequence, uint64(9))
	is.Equal(answer.ListVersion, uint64(1))
}

// BenchmarkSteadyTraffic reports the bytes per second that one of 8 daemons sends and receives
// over loopback with mutual TLS, and the rate limit.
func BenchmarkSteadyTraffic(b *testing.B) {
	const count = 8
	warmUp, duration := 5*time.Second, 20*time.Second
	for b.Loop() {
		ca := newAuthority(b)
		c := clock.NewSystem()
		var daemons []*daemon
		var vms []fleet.VM
		for i := range count {
			name := fmt.Sprintf("vm-%d", i)
			d, vm := startDaemon(b, c, name, NewIdentityHolder(ca.issue(b, name, ca)))
			daemons = append(daemons, d)
			vms = append(vms, vm)
		}
		for _, d := range daemons {
			d.SetList(b.Context(), fleet.NewList(1, vms))
			d.Do(b.Context(), func(now clock.Millis, m *member.Machine) {
				m.SetVersions(now, []member.Version{{Name: "tables", Number: 1, Confirmed: true}})
				m.SetTargetReports(make([]byte, member.MaxTargetReportBytes))
			})
		}
		time.Sleep(warmUp)
		var sent, received uint64
		for _, d := range daemons {
			sent -= d.traffic.Sent()
			received -= d.traffic.Received()
		}
		time.Sleep(duration)
		var framing uint64
		for _, d := range daemons {
			sent += d.traffic.Sent()
			received += d.traffic.Received()
			framing += d.limiter.Framing()
		}
		perVM := count * duration.Seconds()
		b.ReportMetric(float64(sent)/perVM, "sent_B/s")
		b.ReportMetric(float64(received)/perVM, "received_B/s")
		b.ReportMetric(float64(framing)/perVM, "unforeseen_B/s")
		b.ReportMetric(member.DefaultControlRate, "bound_B/s")
	}
}

// BenchmarkExchange reports the time and the bytes of one exchange over loopback with mutual
// TLS. The time includes the work of client and server.
func BenchmarkExchange(b *testing.B) {
	ca := newAuthority(b)
	vm := serve(b, "b", NewIdentityHolder(ca.issue(b, "b", ca)), &echo{})
	client := NewClient(fleet.NewID("a"), NewIdentityHolder(ca.issue(b, "a", ca)))
	defer client.Close()
	for b.Loop() {
		if _, err := client.Exchange(b.Context(), &vm, message()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(client.Traffic().Sent())/float64(b.N), "sent_B/op")
	b.ReportMetric(float64(client.Traffic().Received())/float64(b.N), "received_B/op")
}
