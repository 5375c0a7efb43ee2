package front

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/siblings"
)

// Request outcomes received from another VM make a target a failing target, which is logged.
func TestReceivedOutcomesAreEvaluated(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, Options{})
	domain := d.settings.Load().Domain
	d.engine.ReplaceView(nil, []inband.Published{{Target: &inband.Target{ID: "i-1", Domain: domain, Service: "core"}}})
	from := siblings.Contact{Address: netip.MustParseAddrPort("127.0.0.9:7720"), Domain: domain}
	d.receive(context.Background(), &siblings.Message{Kind: siblings.Suspect, From: from, Outcomes: []inband.OutcomeReport{{ID: "i-1", Failed: 8}}})
	d.evaluateTargets(1000)
	var lines bytes.Buffer
	is.NoErr(d.logWriter.flush(&lines))
	is.True(strings.Contains(lines.String(), "msg=target_judged at_ms=1000 target=i-1 bad=true bad_share=0."))
	is.Equal(d.engine.FailingTargets(), 1)
}

// A VM sends failed request outcomes to the VMs of its failure domain.
func TestRequestOutcomesAreSent(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, Options{})
	sibling, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { is.NoErr(sibling.Close()) }()
	domain := d.settings.Load().Domain
	d.members.MarkAlive(d.clock.Now(), siblings.Contact{Address: localAddress(sibling), Domain: domain})
	d.engine.ReplaceView(nil, []inband.Published{{Target: &inband.Target{ID: "i-1", Domain: domain, Service: "core"}}})
	key := inband.Key{Client: netip.MustParseAddrPort("100.64.0.7:40001"), Destination: netip.MustParseAddrPort("198.18.0.1:80")}
	d.engine.Handle(0, &inband.Packet{Key: key, Flags: inband.Acknowledging, Seq: 1, Tag: inband.TagOf("i-1"), DataLength: 10})
	d.engine.Sweep(1000) // the client stopped sending
	d.evaluateTargets(1000)
	buffer := make([]byte, siblings.MaxMessageBytes)
	n, err := sibling.Read(buffer)
	is.NoErr(err)
	message, err := siblings.Decode(buffer[:n])
	is.NoErr(err)
	is.Equal(message.Outcomes, []inband.OutcomeReport{{ID: "i-1", Failed: 1}})
}
