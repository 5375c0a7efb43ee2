package peers

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/result"
)

// authority signs the certificates of the daemons in tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// identity implements Identity.
type identity struct {
	certificate tls.Certificate
	pool        *x509.CertPool
}

func (i *identity) Certificate() tls.Certificate { return i.certificate }
func (i *identity) Authorities() *x509.CertPool  { return i.pool }

func newAuthority(tb testing.TB) *authority {
	tb.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		tb.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		tb.Fatal(err)
	}
	return &authority{certificate, key}
}

// issue returns the identity of the named VM, which trusts the given authorities.
func (a *authority) issue(tb testing.TB, name string, trusted ...*authority) *identity {
	tb.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		tb.Fatal(err)
	}
	i := &identity{certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool: x509.NewCertPool()}
	for _, t := range trusted {
		i.pool.AddCert(t.certificate)
	}
	return i
}

// echo is a Handler that answers each message with the same message and records what it
// received.
type echo struct {
	from     fleet.ID
	document Document
	records  [][]byte
}

func (e *echo) Exchange(_ context.Context, from fleet.ID, m *member.Message) *member.Message {
	e.from = from
	return m
}

func (e *echo) Document(name string, since uint64) (Document, bool) {
	return e.document, name == "tables" && e.document.version > since
}

func (e *echo) Repair(_ fleet.ID, records [][]byte) int {
	e.records = records
	return len(records)
}

// serve starts a server on a free port and returns its VM.
func serve(tb testing.TB, name string, identity *IdentityHolder, handler Handler, opts ...Option) fleet.VM {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := NewServer(identity, handler, opts...)
	go s.Serve(listener) //nolint:errcheck // ends with Stop
	tb.Cleanup(s.Stop)
	return fleet.NewVM(name, "domain", netip.AddrPort{}, netip.MustParseAddrPort(listener.Addr().String()), fleet.Serving)
}

// codeOf returns the code of an *Error, or result.OK for any other error and for nil.
func codeOf(err error) result.Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code()
	}
	return result.OK
}

func TestExchangeOverMutualTLS(t *testing.T) {
	ca, untrusted := newAuthority(t), newAuthority(t)
	tests := []struct {
		name   string
		self   string
		server *identity
		client *identity
		want   result.Code
	}{
		{"both certificates trusted", "a", ca.issue(t, "b", ca), ca.issue(t, "a", ca), result.OK},
		{"server certificate of another VM", "a", ca.issue(t, "c", ca), ca.issue(t, "a", ca), result.DaemonUnreachable},
		{"client claims the name of another VM", "z", ca.issue(t, "b", ca), ca.issue(t, "a", ca), result.KeyInvalid},
		{"client certificate of an untrusted authority", "a", ca.issue(t, "b", ca), untrusted.issue(t, "a", ca), result.DaemonUnreachable},
		{"server certificate of an untrusted authority", "a", untrusted.issue(t, "b", ca), ca.issue(t, "a", ca), result.DaemonUnreachable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			handler := &echo{}
			vm := serve(t, "b", NewIdentityHolder(test.server), handler)
			client := NewClient(fleet.NewID(test.self), NewIdentityHolder(test.client))
			defer client.Close()
			reply, err := client.Exchange(t.Context(), &vm, message())
			is.Equal(codeOf(err), test.want)
			if test.want == result.OK {
				is.NoErr(err)
				is.Equal(reply, message()) // all fields are transferred
				is.Equal(handler.from, fleet.NewID("a"))
			} else {
				is.Equal(handler.from, fleet.ID(0)) // the handler was not called
			}
		})
	}
}

// message returns a message in which every field is set.
func message() *member.Message {
	return &member.Message{
		Kind: member.ProbeRequest, Sequence: 1 << 60, Subject: 3, Incarnation: 4, StartIncarnation: 5, ProcessAge: 6, ListVersion: 7,
		AnchorVersion: 8, SettledVersion: 9, VisitedVersions: 15, WantedPredecessor: 16,
		Predecessor: member.ListMembers{Version: 17, Members: []fleet.ID{18, 19}},
		Established: true, TargetReports: []byte{10},
		Versions: []member.Version{{Name: "tables", Number: 11, Confirmed: true}, {Name: "list", Number: 12}},
		Updates:  []member.Update{{ID: 13, Status: member.Left, Incarnation: 14}},
	}
}

func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	is := is.New(t)
	old, next := newAuthority(t), newAuthority(t)
	serverIdentity := NewIdentityHolder(old.issue(t, "b", old))
	clientIdentity := NewIdentityHolder(old.issue(t, "a", old))
	vm := serve(t, "b", serverIdentity, &echo{})
	client := NewClient(fleet.NewID("a"), clientIdentity)
	defer client.Close()
	exchange := func() error {
		_, err := client.Exchange(t.Context(), &vm, message())
		return err
	}
	is.NoErr(exchange())
	clientIdentity.Replace(old.issue(t, "a", old, next)) // both authorities are trusted
	serverIdentity.Replace(old.issue(t, "b", old, next))
	is.NoErr(exchange())
	serverIdentity.Replace(next.issue(t, "b", old, next)) // certificates of the next authority
	clientIdentity.Replace(next.issue(t, "a", old, next))
	is.NoErr(exchange())
	serverIdentity.Replace(next.issue(t, "b", next)) // the old authority is removed
	clientIdentity.Replace(next.issue(t, "a", next))
	is.NoErr(exchange())
	clientIdentity.Replace(old.issue(t, "a", next))
	is.Equal(codeOf(exchange()), result.DaemonUnreachable)
}

func TestWithoutKeysOnlyLoopbackIsAllowed(t *testing.T) {
	is := is.New(t)
	vm := fleet.NewVM("b", "domain", netip.AddrPort{}, netip.MustParseAddrPort("192.0.2.1:7000"), fleet.Serving)
	_, err := NewClient(1, nil).Exchange(t.Context(), &vm, message())
	is.Equal(codeOf(err), result.KeyInvalid)
	is.Equal(codeOf(NewServer(nil, &echo{}).Serve(wildcardListener{})), result.KeyInvalid)
	loopback := serve(t, "b", nil, &echo{})
	_, err = NewClient(1, nil).Exchange(t.Context(), &loopback, message())
	is.NoErr(err)
}

// wildcardListener is a listener on all addresses, not only on loopback ones.
type wildcardListener struct{ net.Listener }

func (wildcardListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4zero, Port: 7000} }

func TestPullAndRepair(t *testing.T) {
	is := is.New(t)
	data := make([]byte, 5*chunkBytes+1)
	for i := range data {
		data[i] = byte(i * i)
	}
	handler := &echo{}
	vm := serve(t, "b", nil, handler, WithRateLimiter(&clock.Fake{}, member.NewRateLimiter(0, 1_000_000)))
	client := NewClient(1, nil, WithRateLimiter(&clock.Fake{}, member.NewRateLimiter(0, 1000)))
	defer client.Close()

	_, err := client.Pull(t.Context(), &vm, "tables", 0)
	is.Equal(codeOf(err), result.NotFound)
	handler.document = NewDocument(3, data)
	document, err := client.Pull(t.Context(), &vm, "tables", 2)
	is.NoErr(err)
	is.Equal(document.Version(), uint64(3))
	is.Equal(document.Data(), data)
	_, err = client.Pull(t.Context(), &vm, "tables", 3)
	is.Equal(codeOf(err), result.NotFound)
	handler.document.checksum++
	_, err = client.Pull(t.Context(), &vm, "tables", 0)
	is.True(errors.Is(err, errChecksum))
	slow := serve(t, "slow", nil, handler, WithRateLimiter(&clock.Fake{}, member.NewRateLimiter(0, 100)))
	_, err = client.Pull(t.Context(), &slow, "tables", 0)
	is.Equal(codeOf(err), result.DaemonUnreachable) // would take longer than pullTimeout

	accepted, err := client.Repair(t.Context(), &vm, [][]byte{{1}, {2, 3}})
	is.NoErr(err)
	is.Equal(accepted, 2)
	is.Equal(handler.records, [][]byte{{1}, {2, 3}})
	_, err = client.Repair(t.Context(), &vm, [][]byte{make([]byte, 2000)})
	is.Equal(err, ErrRateLimited)
}

func TestClientLimitsConnections(t *testing.T) {
	is := is.New(t)
	client := NewClient(1, nil)
	defer client.Close()
	for i := range maxConnections + 10 {
		vm := fleet.NewVM(string(rune('a'+i)), "d", netip.AddrPort{}, netip.MustParseAddrPort("127.0.0.1:9"), fleet.Serving)
		_, err := client.peerClient(&vm)
		is.NoErr(err)
	}
	is.Equal(len(client.connections), maxConnections)
	is.True(client.connections[fleet.NewID("a")] == nil) // the least recently used connection was closed first
}
