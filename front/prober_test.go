package front

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/inband"
)

// fakeConnector answers connections by address. Each error is used once, in order.
type fakeConnector struct {
	errs  map[netip.AddrPort]chan error
	calls chan netip.AddrPort
	// A first connection that is not answered waits until this is closed, however slow the machine is.
	isSecondStarted chan struct{}
	isFirst         atomic.Bool // no connection to probedAddress yet
}

// errSilent stands for a connection that is not answered.
var errSilent = errors.New("silent")

func newFakeConnector(errs map[netip.AddrPort][]error) *fakeConnector {
	c := &fakeConnector{errs: map[netip.AddrPort]chan error{}, calls: make(chan netip.AddrPort, 16), isSecondStarted: make(chan struct{})}
	c.isFirst.Store(true)
	for address, all := range errs {
		c.errs[address] = make(chan error, len(all))
		for _, err := range all {
			c.errs[address] <- err
		}
	}
	return c
}

// Connect implements Connector.
func (c *fakeConnector) Connect(ctx context.Context, address netip.AddrPort) error {
	c.calls <- address
	err := <-c.errs[address]
	switch {
	case address != probedAddress:
	case !c.isFirst.Swap(false):
		close(c.isSecondStarted)
	case errors.Is(err, errSilent):
		<-c.isSecondStarted
	}
	if errors.Is(err, errSilent) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

var (
	probedAddress  = netip.MustParseAddrPort("10.0.0.1:80")
	controlAddress = netip.MustParseAddrPort("10.0.0.2:80")
)

// Guards against a first connection whose whole time has passed before the second one could start: this
// VM did not run, so that the target's silence shows nothing.
func TestProberThatDidNotRunShowsNothing(t *testing.T) {
	is := is.New(t)
	connector := newFakeConnector(map[netip.AddrPort][]error{probedAddress: {context.DeadlineExceeded}})
	p := newProber(connector)
	p.secondAttemptAfter = time.Hour
	probe := &inband.TargetProbe{ID: "i-1", Address: probedAddress, Controls: []netip.AddrPort{controlAddress}}
	is.Equal(p.check(context.Background(), probe).outcome, inband.Inconclusive)
}

// Guards against a target that counts as silent although it answers late, although this VM's own link or
// process is the cause, or although the connection failed for a reason of this VM's own.
func TestProberOutcomes(t *testing.T) {
	const neverLate, alwaysLate = time.Hour, -time.Hour
	silent, noDescriptors := errSilent, syscall.EMFILE
	tests := []struct {
		name        string
		target      []error
		control     []error // nil if there is none
		maxDelay    time.Duration
		want        inband.ProbeOutcome
		connections int
	}{
		{"accepted", []error{nil}, []error{nil}, neverLate, inband.Answered, 1},
		{"refused", []error{syscall.ECONNREFUSED}, []error{nil}, neverLate, inband.Refused, 1},
		{"no descriptors", []error{noDescriptors}, []error{nil}, neverLate, inband.Inconclusive, 1},
		{"silent, another target answers", []error{silent, silent}, []error{nil}, neverLate, inband.Silent, 3},
		{"silent, the other target refuses", []error{silent, silent}, []error{syscall.ECONNREFUSED}, neverLate, inband.Inconclusive, 3},
		{"silent, the other target is silent", []error{silent, silent}, []error{silent}, neverLate, inband.Inconclusive, 3},
		{"silent, no other target", []error{silent, silent}, nil, neverLate, inband.Inconclusive, 2},
		{"first packet lost, then accepted", []error{silent, nil}, []error{nil}, neverLate, inband.Answered, 3},
		{"first packet lost, then refused", []error{silent, syscall.ECONNREFUSED}, []error{nil}, neverLate, inband.Refused, 3},
		{"this VM did not run", []error{silent, silent}, []error{nil}, alwaysLate, inband.Inconclusive, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			connector := newFakeConnector(map[netip.AddrPort][]error{probedAddress: tt.target, controlAddress: tt.control})
			p := newProber(connector)
			p.connectTimeout, p.secondAttemptAfter, p.maxTimeoutDelay = 20*time.Millisecond, 5*time.Millisecond, tt.maxDelay
			probe := &inband.TargetProbe{ID: "i-1", Address: probedAddress}
			if tt.control != nil {
				probe.Controls = []netip.AddrPort{controlAddress}
			}
			is.Equal(p.check(context.Background(), probe).outcome, tt.want)
			for range tt.connections {
				<-connector.calls
			}
			is.Equal(len(connector.calls), 0)
		})
	}
}

// BenchmarkConnect measures a probe of a target that answers, over loopback.
func BenchmarkConnect(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_ = connection.Close()
		}
	}()
	p := newProber(tcpConnector{})
	probe := &inband.TargetProbe{ID: "i-1", Address: listener.Addr().(*net.TCPAddr).AddrPort()}
	b.ReportAllocs()
	for b.Loop() {
		if got := p.check(context.Background(), probe); got.outcome != inband.Answered {
			b.Fatal(got.err)
		}
	}
}
