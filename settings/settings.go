// Package settings reads the settings of one daemon and the key files that they name.
package settings

import (
	_ "embed" // embeds the schema of the settings
	"log/slog"
	"net/netip"
	"net/url"
	"sync"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

// ProblemsError lists every fault of a settings or key file.
type ProblemsError = strictjson.ProblemsError

//go:embed settings.schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *strictjson.Schema { return strictjson.MustCompile(schemaText) })

// Settings are what one daemon is told at its start. They are immutable.
type Settings struct {
	name              string
	domain            string
	dataAddress       netip.AddrPort
	peerAddress       netip.AddrPort
	operatorAddress   netip.AddrPort
	fabricAddress     netip.AddrPort
	geneveNetwork     uint32
	mtu               int
	platformEndpoints []string
	seedPeers         []SeedPeer
	fleetSize         int
	workers           int
	maxFlows          int
	controlRate       int
	openingLifetime   clock.Millis
	stopTimeout       clock.Millis
	auditEntries      int
	logLevel          slog.Level
	files             Files
}

// SeedPeer is another daemon that a daemon without a list may ask.
type SeedPeer struct {
	name    string
	address netip.AddrPort
}

// Name returns the name of the entry VM, which its certificate proves.
func (p SeedPeer) Name() string { return p.name }

// Address returns where the daemon takes calls of other daemons.
func (p SeedPeer) Address() netip.AddrPort { return p.address }

// Files are the paths of the files with keys, relative to the working directory.
type Files struct {
	hashSeed       string
	steeringKeys   string
	tlsCertificate string
	tlsKey         string
	tlsAuthorities string
}

// Name returns the name of the entry VM in the published list.
func (s *Settings) Name() string { return s.name }

// Domain returns the failure domain.
func (s *Settings) Domain() string { return s.domain }

// DataAddress returns where Geneve datagrams arrive.
func (s *Settings) DataAddress() netip.AddrPort { return s.dataAddress }

// PeerAddress returns where other daemons call.
func (s *Settings) PeerAddress() netip.AddrPort { return s.peerAddress }

// OperatorAddress returns where operators query and scrape.
func (s *Settings) OperatorAddress() netip.AddrPort { return s.operatorAddress }

// FabricAddress returns where inner packets leave to.
func (s *Settings) FabricAddress() netip.AddrPort { return s.fabricAddress }

// GeneveNetwork returns the virtual network identifier, 24 bits.
func (s *Settings) GeneveNetwork() uint32 { return s.geneveNetwork }

// MTU returns the largest IP packet in bytes that the fabric carries.
func (s *Settings) MTU() int { return s.mtu }

// PlatformEndpoints returns the base URLs of the platform's service.
func (s *Settings) PlatformEndpoints() []string { return s.platformEndpoints }

// SeedPeers returns the daemons to ask when the platform gives no list.
func (s *Settings) SeedPeers() []SeedPeer { return s.seedPeers }

// FleetSize returns the number of daemons expected before the list is known.
func (s *Settings) FleetSize() int { return s.fleetSize }

// Workers returns the number of goroutines that handle datagrams.
func (s *Settings) Workers() int { return s.workers }

// MaxFlows returns the largest number of flows held.
func (s *Settings) MaxFlows() int { return s.maxFlows }

// ControlRate returns the limit of control traffic in bytes a second.
func (s *Settings) ControlRate() int { return s.controlRate }

// OpeningLifetime returns the longest span for which an opening packet can be under way.
func (s *Settings) OpeningLifetime() clock.Millis { return s.openingLifetime }

// StopTimeout returns the longest span that a graceful stop takes.
func (s *Settings) StopTimeout() clock.Millis { return s.stopTimeout }

// AuditEntries returns the number of changes that the audit trail keeps.
func (s *Settings) AuditEntries() int { return s.auditEntries }

// LogLevel returns the lowest level of events that are logged.
func (s *Settings) LogLevel() slog.Level { return s.logLevel }

// Files returns the paths of the key files.
func (s *Settings) Files() Files { return s.files }

// Parse reads a settings document. It takes all of it or nothing; the error is a
// *ProblemsError that names every fault.
func Parse(document []byte) (*Settings, error) {
	problems := strictjson.NewProblems(result.SettingsInvalid)
	o, ok := schema().Read("$", document, problems)
	if !ok {
		return nil, problems.Err()
	}
	o = o.WithDefaults(strictjson.Defaults(schemaText))
	s := &Settings{
		name:              o.Text("name", ""),
		domain:            o.Text("domain", ""),
		dataAddress:       address(o, "data_address", problems),
		peerAddress:       address(o, "peer_address", problems),
		operatorAddress:   address(o, "operator_address", problems),
		fabricAddress:     address(o, "fabric_address", problems),
		geneveNetwork:     uint32(o.Integer("geneve_network", 0)),
		mtu:               int(o.Integer("mtu", 0)),
		platformEndpoints: endpoints(o, problems),
		seedPeers:         seedPeers(o, problems),
		fleetSize:         int(o.Integer("fleet_size", 0)),
		workers:           int(o.Integer("workers", 0)),
		maxFlows:          int(o.Integer("max_flows", 0)),
		controlRate:       int(o.Integer("control_bytes_per_second", 0)),
		openingLifetime:   clock.Millis(o.Integer("opening_lifetime_seconds", 0)) * clock.Second,
		stopTimeout:       clock.Millis(o.Integer("stop_timeout_seconds", 0)) * clock.Second,
		auditEntries:      int(o.Integer("audit_entries", 0)),
		files: Files{
			hashSeed:       o.Text("hash_seed_file", ""),
			steeringKeys:   o.Text("steering_keys_file", ""),
			tlsCertificate: o.Text("tls_certificate_file", ""),
			tlsKey:         o.Text("tls_key_file", ""),
			tlsAuthorities: o.Text("tls_authorities_file", ""),
		},
	}
	_ = s.logLevel.UnmarshalText([]byte(o.Text("log_level", ""))) // the schema lists the levels
	s.checkAddresses(o, problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func address(o strictjson.Object, field string, problems *strictjson.Problems) netip.AddrPort {
	if !o.HasText(field) {
		return netip.AddrPort{}
	}
	text := o.Text(field, "")
	ap, err := strictjson.ParseAddrPort(text)
	if err != nil {
		problems.Add(o.Path(field), text, "%v", err)
	}
	return ap
}

func endpoints(o strictjson.Object, problems *strictjson.Problems) []string {
	texts := o.Texts("platform_endpoints")
	for i, text := range texts {
		if reason := endpointProblem(text); reason != "" {
			problems.Add(strictjson.ElementPath(o.Path("platform_endpoints"), i), text, "%s", reason)
		}
	}
	return texts
}

func seedPeers(o strictjson.Object, problems *strictjson.Problems) []SeedPeer {
	var seeds []SeedPeer
	for _, peer := range o.Objects("seed_peers") {
		seeds = append(seeds, SeedPeer{name: peer.Text("name", ""), address: address(peer, "address", problems)})
	}
	return seeds
}

func endpointProblem(text string) string {
	u, err := url.Parse(text)
	switch {
	case err != nil:
		return "must be a URL"
	case u.Scheme != "http" && u.Scheme != "https":
		return "must begin with http:// or https://"
	case u.User != nil || u.RawQuery != "" || u.Fragment != "":
		return "must have no user, query or fragment"
	}
	if _, err := strictjson.ParseAddr(u.Hostname()); err != nil {
		return "host: " + err.Error()
	}
	return ""
}

// checkAddresses finds sockets that would collide.
func (s *Settings) checkAddresses(o strictjson.Object, problems *strictjson.Problems) {
	if s.peerAddress.IsValid() && s.peerAddress == s.operatorAddress {
		problems.Add(o.Path("peer_address"), s.peerAddress.String(), "must differ from operator_address")
	}
	if s.dataAddress.IsValid() && s.dataAddress == s.fabricAddress {
		problems.Add(o.Path("fabric_address"), s.fabricAddress.String(), "must differ from data_address")
	}
	if s.dataAddress.IsValid() && s.fabricAddress.IsValid() && s.dataAddress.Addr().Is4() != s.fabricAddress.Addr().Is4() {
		problems.Add(o.Path("fabric_address"), s.fabricAddress.String(), "must be of the same address family as data_address")
	}
}
