package front

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/siblings"
)

var otherVM = siblings.Contact{Address: netip.MustParseAddrPort("127.0.0.1:9"), Domain: "a"}

// newSharingDaemon returns a daemon that shares its load, or does not, and has two targets.
func newSharingDaemon(t *testing.T, sharesLoad bool) (*Daemon, *clock.Fake) {
	t.Helper()
	d := newDaemon(t, Options{DecodeParts: func([]string) Parts { return Parts{SharesLoad: sharesLoad} }})
	fake := &clock.Fake{}
	d.clock = fake
	fake.Advance(clock.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalog.Replace(fake.Now(), fake.Now(), &catalog.Changes{Tables: &inband.Tables{Version: 1, Services: []inband.Service{{Name: "core"}}}, Targets: []*inband.Target{
		{ID: "i-1", Service: "core", Domain: "a", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80")},
		{ID: "i-2", Service: "core", Domain: "b", Slots: 3, Address: netip.MustParseAddrPort("10.0.0.2:80")},
	}})
	d.updateEngine()
	d.members.MarkAlive(fake.Now(), otherVM)
	return d, fake
}

// counted returns the value of a counter.
func counted(d *Daemon, metric Metric) int64 {
	for _, c := range d.metrics.scope.(tally.TestScope).Snapshot().Counters() {
		if c.Name() == metric.Name {
			return c.Value()
		}
	}
	return 0
}

func TestLoadIsToldIfThePartIsOn(t *testing.T) {
	tests := []struct {
		name       string
		sharesLoad bool
		expected   int64
	}{
		{"off", false, 0},
		{"on", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, fake := newSharingDaemon(t, tt.sharesLoad)
			d.runMaintenance(fake.Now())
			d.shareLoad(fake.Now()) // has measured nothing so far
			is.Equal(counted(d, loadSentMetric), int64(0))
			fake.Advance(tickInterval)
			d.runMaintenance(fake.Now())
			d.shareLoad(fake.Now())
			d.shareRemoteLoad(fake.Now()) // knows no VM of another domain
			is.Equal(counted(d, loadSentMetric), tt.expected)
			is.Equal(counted(d, controlBytesMetric) > 0, tt.sharesLoad)
			is.Equal(counted(d, loadBytesMetric), counted(d, controlBytesMetric))
		})
	}
}

func TestToldLoadIsBelieved(t *testing.T) {
	is := is.New(t)
	d, fake := newSharingDaemon(t, true)
	report := load.Report{Targets: []load.TargetWork{{Tag: uint32(inband.TagOf("i-1")), Work: load.Work{Busy: 3, Finished: 40, Flows: 5}}}}
	message := &siblings.Message{Kind: siblings.Load, From: otherVM, Load: load.Encode(&report, maxLoadBytes)}
	d.receive(context.Background(), message)
	d.runMaintenance(fake.Now()) // counts the VMs that are alive
	fake.Advance(tickInterval)
	d.runMaintenance(fake.Now())
	is.True(d.knowsLoad)
	is.Equal(counted(d, loadReceivedMetric), int64(1))
	is.Equal(d.engine.LoadPools(), []load.DomainPool{
		{ID: load.DomainPoolID{Service: "core", Domain: "a"}, Targets: 1, Slots: 2, Work: load.Work{Busy: 3, Finished: 40, Flows: 5}, Age: tickInterval},
		{ID: load.DomainPoolID{Service: "core", Domain: "b"}, Targets: 1, Slots: 3, Age: load.NewsLifetime},
	})
	fake.Advance(4 * clock.Second)
	d.runMaintenance(fake.Now())
	is.True(!d.knowsLoad)
}

func TestCorruptLoadIsIgnored(t *testing.T) {
	is := is.New(t)
	d, fake := newSharingDaemon(t, true)
	d.receive(context.Background(), &siblings.Message{Kind: siblings.Load, From: otherVM, Load: []byte{9}})
	is.Equal(counted(d, loadReceivedMetric), int64(0))
	is.Equal(d.engine.LoadReporters(fake.Now()), 0)
}

func TestLoadIsForgottenAfterAPause(t *testing.T) {
	is := is.New(t)
	d, fake := newSharingDaemon(t, true)
	empty := load.Encode(&load.Report{}, maxLoadBytes)
	d.receive(context.Background(), &siblings.Message{Kind: siblings.Load, From: otherVM, Load: empty})
	d.checkForPause(fake.Now())
	is.Equal(d.engine.LoadReporters(fake.Now()), 1)
	fake.Advance(minStall)
	d.checkForPause(fake.Now())
	is.Equal(d.engine.LoadReporters(fake.Now()), 0)
}

func TestLoadLeavesRoomToUrgentMessages(t *testing.T) {
	is := is.New(t)
	d, _ := newSharingDaemon(t, true)
	const size = 1000
	sent := d.allowMessages(size, 100, siblings.Load)
	is.Equal(sent, burstSeconds*controlBytesPerSecond/4/size)
	is.True(d.allowMessages(size, 100, siblings.Suspect) > 0)
	is.True(d.allowMessages(size, 100, siblings.Heartbeat) > 0)
}

// TestAgeOfNewsIncludesItsWay has news of another domain arrive with the age that it had when it was sent.
func TestAgeOfNewsIncludesItsWay(t *testing.T) {
	is := is.New(t)
	d, fake := newSharingDaemon(t, true)
	pool := load.DomainPoolID{Service: "core", Domain: "b"}.Hash()
	report := load.Report{Pools: []load.PoolNews{{Pool: pool, Source: load.HashDomain("b"), Work: load.Work{Busy: 3}, Age: 40}}}
	d.receive(context.Background(), &siblings.Message{Kind: siblings.Load, From: otherVM, Load: load.Encode(&report, maxLoadBytes)})
	is.Equal(d.engine.TakeLoadReport(fake.Now()).Pools[0].Age, 40+transitTime)
}

func TestMessagesOfLoadAreIgnoredIfThePartIsOff(t *testing.T) {
	is := is.New(t)
	d, fake := newSharingDaemon(t, false)
	stranger := siblings.Contact{Address: netip.MustParseAddrPort("127.0.0.1:10"), Domain: "a"}
	for _, data := range [][]byte{load.Encode(&load.Report{}, maxLoadBytes), {9}} {
		d.receive(context.Background(), &siblings.Message{Kind: siblings.Load, From: stranger, Load: data})
	}
	is.Equal(counted(d, loadReceivedMetric), int64(0))
	is.Equal(d.members.CountLocal(fake.Now()), 1)
}

// TestFewVMsTellOtherDomains has this VM be one of some in its domain, all of which know the same.
func TestFewVMsTellOtherDomains(t *testing.T) {
	tests := []struct {
		name          string
		vms           int
		atLeast, most int64 // messages in 200 rounds
	}{
		{"few VMs", remoteReporters, 199, 199}, // the first one has measured nothing
		{"40 VMs", 40, 5, 40},                  // 20 are expected
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, fake := newSharingDaemon(t, true)
			d.random = rand.New(rand.NewPCG(1, 2))
			report := load.Encode(&load.Report{Remote: []load.PoolWork{{Pool: load.DomainPoolID{Service: "core", Domain: "b"}.Hash()}}}, maxLoadBytes)
			for range 200 {
				d.receive(context.Background(), &siblings.Message{Kind: siblings.Load, From: otherVM, Load: report})
				for i := range tt.vms - 2 {
					d.members.MarkAlive(fake.Now(), siblings.Contact{Address: netip.AddrPortFrom(otherVM.Address.Addr(), uint16(20000+i)), Domain: "a"})
				}
				d.members.MarkAlive(fake.Now(), siblings.Contact{Address: netip.MustParseAddrPort("127.0.0.1:11"), Domain: "b"})
				fake.Advance(tickInterval)
				d.runMaintenance(fake.Now())
				d.shareRemoteLoad(fake.Now())
			}
			sent := counted(d, loadSentMetric)
			is.True(sent >= tt.atLeast && sent <= tt.most)
		})
	}
}

func TestReportOfAVMThatLeavesIsDropped(t *testing.T) {
	is := is.New(t)
	d, fake := newSharingDaemon(t, true)
	empty := load.Encode(&load.Report{}, maxLoadBytes)
	d.receive(context.Background(), &siblings.Message{Kind: siblings.Load, From: otherVM, Load: empty})
	is.Equal(d.engine.LoadReporters(fake.Now()), 1)
	d.receive(context.Background(), &siblings.Message{Kind: siblings.Leave, From: otherVM})
	is.Equal(d.engine.LoadReporters(fake.Now()), 0)
}
