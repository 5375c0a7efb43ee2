package front

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/siblings"
)

// A seed that was restarted knows no VM if the other seeds are gone, and the VMs that it said goodbye to do not
// write to it. So each VM contacts an unknown seed now and then, also while it knows others.
func TestUnknownSeedIsContacted(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, Options{})
	fake := &clock.Fake{}
	d.clock = fake
	seed, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 9), Port: int(localAddress(d.sockets.messages).Port())})
	is.NoErr(err)
	defer func() { is.NoErr(seed.Close()) }()
	settings := *d.settings.Load()
	settings.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.9:1")}
	d.settings.Store(&settings)
	const heartbeats = 60 // a minute
	for range heartbeats {
		now := fake.Now()
		d.mu.Lock()
		d.members.MarkAlive(now, siblings.Contact{Address: netip.MustParseAddrPort("127.0.0.8:7"), Domain: "a"})
		d.mu.Unlock()
		d.sendHeartbeat(now)
		fake.Advance(clock.Second)
	}
	is.NoErr(seed.SetReadDeadline(time.Now().Add(time.Second)))
	n, _, err := seed.ReadFromUDPAddrPort(make([]byte, siblings.MaxMessageBytes))
	is.NoErr(err)
	is.True(n > 0)
}

// A VM that receives a Hello knows its sender, and so does the sender by the reply. It also hears of more VMs.
func TestHelloMakesVMsKnowEachOther(t *testing.T) {
	is := is.New(t)
	seed, other := newDaemon(t, Options{}), newDaemon(t, Options{})
	third := siblings.Contact{Address: netip.MustParseAddrPort("127.0.0.8:7"), Domain: "a"}
	hello := &siblings.Message{Kind: siblings.Hello, From: other.members.Self(), Contacts: []siblings.Contact{third}}
	seed.receive(context.Background(), hello)
	is.Equal(len(seed.members.Alive(seed.clock.Now())), 2)
	is.NoErr(other.sockets.messages.SetReadDeadline(time.Now().Add(time.Second)))
	buffer := make([]byte, siblings.MaxMessageBytes)
	n, source, err := other.sockets.messages.ReadFromUDPAddrPort(buffer)
	is.NoErr(err)
	reply, err := decodeFrom(buffer[:n], source)
	is.NoErr(err)
	other.receive(context.Background(), reply)
	is.Equal(other.members.Alive(other.clock.Now())[0].Address, seed.members.Self().Address)
}
