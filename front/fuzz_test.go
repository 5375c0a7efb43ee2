package front

import (
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/siblings"
)

// FuzzParseSettings guards against settings that end the process, and against accepted ones that the
// checks should have rejected.
func FuzzParseSettings(f *testing.F) {
	f.Add(validSettings)
	f.Add(`{"cpu_share":1e309,"link_mbps":-1,"seeds":[null]}`)
	f.Add(`[[[[`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSettings([]byte(text))
		if err != nil {
			return
		}
		if s.check() != nil || s.policy(Parts{}) == nil || s.viewBytesPerSecond() < 0 {
			t.Fatalf("accepted settings are invalid: %+v", s)
		}
		_ = s.capacity()
	})
}

// FuzzReceive guards against messages of other VMs that end the process, or leave a state in which the
// next packet, sweep or probe does. Nothing is sent.
func FuzzReceive(f *testing.F) {
	from := `"from":{"address":"10.1.0.9:7720","domain":"a","capacity":3,"age_ms":-5}`
	f.Add([]byte(`{"kind":"suspect",`+from+`,"suspects":[{"id":"i-1","born":1,"openings":-3,"data":9223372036854775807}],"probes":[{"id":"i-1","outcome":"refused","age_ms":-9},{"id":"i-1","outcome":"silent","confirmed":true}]}`), int64(5))
	f.Add([]byte(`{"kind":"suspect",`+from+`,"grades":[{"id":"i-1","good":-1,"bad":9223372036854775807}]}`), int64(1<<60))
	f.Add([]byte(`{"kind":"announce",`+from+`,"view":{"revision":9,"age_ms":-9223372036854775808,"version":7,"digest":1},"targets":[{"id":"i-1","mark":9,"born":5,"revision":8},{"id":"","slots":-1},{"id":"i-1","mark":3,"revision":9,"passed_over":{"id":"i-2","mark":2,"passed_over":{}}}],"tables":{"base":1,"version":9,"set":[{"shares":null},{"shares":[{"service":"core","weight":-7}]}]}}`), int64(-1))
	f.Add([]byte(`{"kind":"goodbye",`+from+`,"contacts":[{"address":"10.1.0.8:1","domain":"a","age_ms":-99999999999}]}`), int64(0))
	report := load.Encode(&load.Report{Targets: []load.TargetWork{{Tag: uint32(inband.TagOf("i-1")), Start: 1, Work: load.Work{Busy: 1e9}}}}, maxLoadBytes)
	f.Add(fmt.Appendf(nil, `{"kind":"load",%s,"load":%q}`, from, base64.StdEncoding.EncodeToString(report)), int64(7))
	f.Fuzz(func(_ *testing.T, data []byte, at int64) {
		message, err := siblings.Decode(data)
		if err != nil {
			return
		}
		d := newPassiveDaemon()
		now := clock.Millis(at)
		d.updateMembers(now, message)
		d.engine.ReceiveSuspicions(now, message.From.Address, message.From.Domain, message.Suspicions)
		d.engine.ReceiveProbes(now, message.From.Domain, message.Probes)
		d.engine.ReceiveOutcomes(now, message.From.Domain, message.Outcomes)
		if report, err := load.Decode(message.Load); err == nil {
			d.engine.ReceiveLoad(now, message.From.Address, message.From.Domain, report)
		}
		d.mergeMessage(now, message)
		d.exercise(now)
	})
}

// newPassiveDaemon returns a daemon without sockets that knows tables and one target.
func newPassiveDaemon() *Daemon {
	random := rand.New(rand.NewPCG(1, 1))
	self := siblings.Contact{Address: netip.MustParseAddrPort("10.1.0.1:7720"), Domain: "a"}
	d := &Daemon{
		catalog: catalog.New(), readScheduler: catalog.NewReadScheduler(random), members: siblings.NewMembers(self, random),
		log: newLogger(io.Discard), readerWakeUp: make(chan struct{}, 1),
	}
	d.engine = inband.New(inband.Options{Domain: "a", Policy: inband.Local{}, MaxFlows: 10, FlowLifetime: clock.Minute, Seed: 1, SharesLoad: true})
	target := &inband.Target{ID: "i-1", Identity: 1, Service: "core", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a", Slots: 2, StartedAtMS: 1, Revision: 3}
	tables := &inband.Tables{Version: 1, IdleMS: 15000, Routes: []inband.Route{
		{Name: "feed", Address: modelRoute, Repeatable: true, Shares: []inband.Share{{Service: "core", Weight: 1}}},
	}}
	d.mergeChanges(0, 0, &catalog.Changes{Tables: tables, Targets: []*inband.Target{target}, Revision: 3}, true, "test")
	return d
}

// exercise does what a daemon does with its state: it handles packets, probes, reports and sweeps.
func (d *Daemon) exercise(now clock.Millis) {
	key := inband.Key{Client: netip.MustParseAddrPort("100.64.0.1:1000"), Destination: modelRoute}
	for i := range clock.Millis(3) {
		d.engine.Handle(now+200*i, &inband.Packet{Key: key, Flags: inband.Opening, Seq: 100, Ack: uint32(i)})
		for _, id := range d.engine.SuspectsToProbe(now+200*i, d.isProber(now)) {
			if probe := d.engine.StartProbe(now, id); probe != nil {
				d.engine.RecordProbe(now+200*i, inband.ProbeResult{Probe: probe, SentAt: now, Outcome: inband.Silent})
			}
		}
		d.engine.FirstContact(now+200*i, d.isProber(now))
		d.engine.EndFlowsOfLostTargets(now + 200*i)
		d.engine.TakeSuspicions(now + 200*i)
		d.engine.TakeOutcomes(now + 200*i)
		d.engine.Sweep(now + 200*i)
	}
	d.engine.Explain(now, key)
	d.engine.Targets()
	d.engine.TakeLoadReport(now)
	d.engine.TakeDomainReport(now)
	d.engine.LoadPools()
	d.members.SampleContacts(now, "a")
	d.members.Rank(now)
	d.catalog.Prune(now)
	d.catalog.ChangesSince(0, 0, 0)
}
