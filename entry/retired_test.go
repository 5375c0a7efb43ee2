package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/entry"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/standin"
)

// logMatcher is a log writer that signals each line that contains the text.
type logMatcher struct {
	text    string
	matched chan struct{}
}

func (l *logMatcher) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(l.text)) {
		select {
		case l.matched <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// testVM is a running daemon with the matcher of its log.
type testVM struct {
	daemon *entry.Daemon
	log    *logMatcher
}

// runVM starts a daemon that runs until the end of the test. Its matcher signals log lines that
// contain the text.
func runVM(t *testing.T, name, platformURL, text string, seeds ...fleet.VM) *testVM {
	t.Helper()
	is := is.New(t)
	key, err := geneve.NewKey(1, make([]byte, 32))
	is.NoErr(err)
	ring, err := geneve.NewKeyRing(key)
	is.NoErr(err)
	listenAddress := netip.MustParseAddrPort("127.0.0.1:0")
	config := entry.Config{
		Name: name, Domain: "kadikoy", DataAddress: listenAddress, PeerAddress: listenAddress, OperatorAddress: listenAddress,
		FabricAddress:     netip.MustParseAddrPort("127.0.0.1:9"),
		PlatformEndpoints: []string{platformURL}, Keys: geneve.NewKeys(ring), MTU: 1500, StopTimeout: 1,
		SeedPeers: seeds,
	}
	log := &logMatcher{text: text, matched: make(chan struct{}, 16)}
	daemon, err := entry.New(context.Background(), config, entry.WithLogger(slog.New(slog.NewTextHandler(log, nil))))
	is.NoErr(err)
	ended := make(chan error)
	go func() { ended <- daemon.Run(context.Background()) }()
	t.Cleanup(func() {
		daemon.Kill()
		is.NoErr(<-ended)
	})
	return &testVM{daemon, log}
}

// listEntry returns the entry of the VM in the published list.
func (v *testVM) listEntry(name string) string {
	return fmt.Sprintf(`{"name":%q,"domain":"kadikoy","data_address":%q,"peer_address":%q}`,
		name, v.daemon.DataAddress(), v.daemon.PeerAddress())
}

// TestNewDaemonPullsRetiredHostsFromPeer removes a host from the tables before a daemon starts.
// Unless the daemon pulls the host from a peer, which still knows it, it can't translate the
// replies of that host.
func TestNewDaemonPullsRetiredHostsFromPeer(t *testing.T) {
	is := is.New(t)
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	publish := func(version int, hosts string) {
		is.NoErr(platform.Publish(published.Tables, fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"a","destination":"203.0.113.1","port":1,`+
			`"protocol":"udp","pool":"p"}],"pools":[{"name":"p","hosts":[%s]}]}`, version, hosts)))
	}
	publish(1, `{"name":"h","address":"192.0.2.1","port":1,"domain":"kadikoy"}`)
	peer := runVM(t, "old", server.URL, "subject=tables")
	is.NoErr(platform.Publish(published.List, fmt.Appendf(nil, `{"version":1,"vms":[%s]}`, peer.listEntry("old"))))
	<-peer.log.matched
	publish(2, "")
	<-peer.log.matched
	newVM := runVM(t, "fresh", server.URL, "subject=tables before=2 after=2 source=old")
	is.NoErr(platform.Publish(published.List, fmt.Appendf(nil, `{"version":2,"vms":[%s,%s]}`, peer.listEntry("old"), newVM.listEntry("fresh"))))
	<-newVM.log.matched // its tables have the retired host that the platform doesn't list
}

// TestNewDaemonStartsFromSeedPeer starts a daemon while the platform is down. The daemon must
// pull the tables from its seed peer.
func TestNewDaemonStartsFromSeedPeer(t *testing.T) {
	is := is.New(t)
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	is.NoErr(platform.Publish(published.Tables, []byte(`{"version":5,"routes":[],"pools":[]}`)))
	peer := runVM(t, "old", server.URL, "kind=table")
	is.NoErr(platform.Publish(published.List, fmt.Appendf(nil, `{"version":1,"vms":[%s]}`, peer.listEntry("old"))))
	<-peer.log.matched
	platform.SetFault(standin.Down, 0)
	seed := fleet.NewVM("old", "", netip.AddrPort{}, peer.daemon.PeerAddress(), fleet.Serving)
	newVM := runVM(t, "fresh", server.URL, "subject=tables before=0 after=5 source=old", seed)
	<-newVM.log.matched
}
