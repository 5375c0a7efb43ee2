// Package settings reads the settings of a daemon and the key files that they refer to.
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

// ProblemsError lists all problems of a settings or key file.
type ProblemsError = strictjson.ProblemsError

//go:embed settings.schema.json
var settingsSchemaText []byte

var settingsSchema = sync.OnceValue(func() *strictjson.Schema { return strictjson.MustCompile(settingsSchemaText) })

// Settings holds the configuration of a daemon. It is immutable.
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

// SeedPeer is another daemon from which a daemon can request the member list when the
// platform does not provide it.
type SeedPeer struct {
	name    string
	address netip.AddrPort
}

// Name returns the name of the entry VM, which must be in its certificate.
func (p SeedPeer) Name() string { return p.name }

// Address returns the TCP address on which the daemon accepts calls from other daemons.
func (p SeedPeer) Address() netip.AddrPort { return p.address }

// Files holds the paths of the key files. Relative paths are resolved against the working
// directory.
type Files struct {
	hashSeed       string
	steeringKeys   string
	tlsCertificate string
	tlsKey         string
	tlsAuthorities string
}

// Name returns the name of the entry VM in the published member list.
func (s *Settings) Name() string { return s.name }

// Domain returns the failure domain of the entry VM.
func (s *Settings) Domain() string { return s.domain }

// DataAddress returns the UDP address on which Geneve datagrams are received.
func (s *Settings) DataAddress() netip.AddrPort { return s.dataAddress }

// PeerAddress returns the TCP address on which calls from other daemons are accepted.
func (s *Settings) PeerAddress() netip.AddrPort { return s.peerAddress }

// OperatorAddress returns the TCP address of the operator API and the metrics.
func (s *Settings) OperatorAddress() netip.AddrPort { return s.operatorAddress }

// FabricAddress returns the UDP address of the fabric, to which inner packets are sent.
func (s *Settings) FabricAddress() netip.AddrPort { return s.fabricAddress }

// GeneveNetwork returns the virtual network identifier of Geneve datagrams, which has 24 bits.
func (s *Settings) GeneveNetwork() uint32 { return s.geneveNetwork }

// MTU returns the maximum size in bytes of an IP packet on the fabric.
func (s *Settings) MTU() int { return s.mtu }

// PlatformEndpoints returns the base URLs of the platform API.
func (s *Settings) PlatformEndpoints() []string { return s.platformEndpoints }

// SeedPeers returns the daemons from which to request the member list at the start when
// the platform does not provide it.
func (s *Settings) SeedPeers() []SeedPeer { return s.seedPeers }

// FleetSize returns the expected number of daemons, used until the member list is known.
func (s *Settings) FleetSize() int { return s.fleetSize }

// Workers returns the number of goroutines that process datagrams.
func (s *Settings) Workers() int { return s.workers }

// MaxFlows returns the maximum number of flows in the flow table.
func (s *Settings) MaxFlows() int { return s.maxFlows }

// ControlRate returns the rate limit of control traffic between daemons in bytes per second.
func (s *Settings) ControlRate() int { return s.controlRate }

// OpeningLifetime returns the maximum time for which an opening packet or its
// retransmission can be in transit.
func (s *Settings) OpeningLifetime() clock.Millis { return s.openingLifetime }

// StopTimeout returns the maximum duration of a graceful shutdown.
func (s *Settings) StopTimeout() clock.Millis { return s.stopTimeout }

// AuditEntries returns the number of changes that the audit trail keeps in memory.
func (s *Settings) AuditEntries() int { return s.auditEntries }

// LogLevel returns the minimum level of logged events.
func (s *Settings) LogLevel() slog.Level { return s.logLevel }

// Files returns the paths of the key files.
func (s *Settings) Files() Files { return s.files }

// Parse parses a settings document. It accepts or rejects the document as a whole. The
// error is a *ProblemsError that lists all problems.
func Parse(document []byte) (*Settings, error) {
	problems := strictjson.NewProblems(result.SettingsInvalid)
	o, ok := settingsSchema().Read("$", document, problems)
	if !ok {
		return nil, problems.Err()
	}
	o = o.WithDefaults(strictjson.Defaults(settingsSchemaText))
	s := &Settings{
		name:              o.Text("name", ""),
		domain:            o.Text("domain", ""),
		dataAddress:       parseAddress(o, "data_address", problems),
		peerAddress:       parseAddress(o, "peer_address", problems),
		operatorAddress:   parseAddress(o, "operator_address", problems),
		fabricAddress:     parseAddress(o, "fabric_address", problems),
		geneveNetwork:     uint32(o.Integer("geneve_network", 0)),
		mtu:               int(o.Integer("mtu", 0)),
		platformEndpoints: parsePlatformEndpoints(o, problems),
		seedPeers:         parseSeedPeers(o, problems),
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
	s.checkAddressConflicts(o, problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func parseAddress(o strictjson.Object, field string, problems *strictjson.Problems) netip.AddrPort {
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

func parsePlatformEndpoints(o strictjson.Object, problems *strictjson.Problems) []string {
	texts := o.Texts("platform_endpoints")
	for i, text := range texts {
		if reason := checkEndpointURL(text); reason != "" {
			problems.Add(strictjson.ElementPath(o.Path("platform_endpoints"), i), text, "%s", reason)
		}
	}
	return texts
}

func parseSeedPeers(o strictjson.Object, problems *strictjson.Problems) []SeedPeer {
	var seeds []SeedPeer
	for _, peer := range o.Objects("seed_peers") {
		seeds = append(seeds, SeedPeer{name: peer.Text("name", ""), address: parseAddress(peer, "address", problems)})
	}
	return seeds
}

// checkEndpointURL returns the reason why a base URL is invalid, or "" if it is valid.
func checkEndpointURL(text string) string {
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

// checkAddressConflicts reports addresses that must differ but do not, and address families
// that do not match.
func (s *Settings) checkAddressConflicts(o strictjson.Object, problems *strictjson.Problems) {
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
