package front

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"

	"github.com/go-json-experiment/json"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Settings holds the settings of an entry VM's daemon, which are read from a JSON file.
type Settings struct {
	Name                string           `json:"name"`
	Domain              string           `json:"domain"`            // failure domain of the VM
	PacketAddress       netip.AddrPort   `json:"packet_address"`    // UDP, client packets and packets to targets
	ReadinessAddress    netip.AddrPort   `json:"readiness_address"` // TCP
	OperatorAddress     netip.AddrPort   `json:"operator_address"`  // TCP; status, explanations, audit trail and metrics
	SiblingAddress      netip.AddrPort   `json:"sibling_address"`   // TCP and UDP, traffic between entry VMs
	Seeds               []netip.AddrPort `json:"seeds"`             // operator addresses of some entry VMs
	StoreAddress        netip.AddrPort   `json:"store_address"`
	Policy              string           `json:"policy"`                // "local" or "naive"
	LogLinesPerSecond   int              `json:"log_lines_per_second"`  // limit on routine lines
	FlowLifetimeSeconds int64            `json:"flow_lifetime_seconds"` // expected maximum age of a flow
	StopMS              clock.Millis     `json:"stop_ms"`               // how long open flows continue during a shutdown
	MaxFlows            int              `json:"max_flows"`             // limit on tracked flows
	CPUShare            float64          `json:"cpu_share"`             // fraction of a core
	LinkMbps            float64          `json:"link_mbps"`
	FirstStart          bool             `json:"first_start"` // the whole deployment starts for the first time
	Regions             string           `json:"regions"`     // of the failure domains, such as "east-a=east,west-a=west"
	Rules               string           `json:"rules"`       // of the platform that are in force, separated by commas; some turn optional parts on
}

// Parts are the optional parts of the daemon. Each is off unless the rules in the settings ask for it.
type Parts struct {
	SharesLoad       bool // entry VMs tell each other what they have under way, and place new flows by it
	RefusesByUrgency bool // openings of less urgent routes are refused while the targets have too little room
}

// Values of the setting "policy".
const (
	policyLocal = "local"
	policyNaive = "naive"
)

// LoadSettings reads and validates a settings file. It returns an error if the file cannot be read,
// or the error of ParseSettings.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(data)
}

// ParseSettings decodes and validates settings. It rejects unknown names, which may be misspelled
// settings. If values are missing or invalid, the error lists all of them.
func ParseSettings(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(data, s, json.RejectUnknownMembers(true)); err != nil {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// check returns an error that lists all missing and invalid values.
func (s *Settings) check() error {
	var problems []error
	require := func(isValid bool, name, requirement string) {
		if !isValid {
			problems = append(problems, fmt.Errorf("settings: %s must be %s", name, requirement))
		}
	}
	require(s.Name != "", "name", "set")
	require(s.Domain != "", "domain", "set")
	require(s.PacketAddress.Addr().Is4(), "packet_address", "an IPv4 address with a port")
	require(s.ReadinessAddress.IsValid(), "readiness_address", "an address with a port")
	require(s.OperatorAddress.IsValid(), "operator_address", "an address with a port")
	require(s.SiblingAddress.IsValid(), "sibling_address", "an address with a port")
	require(s.StoreAddress.IsValid(), "store_address", "an address with a port")
	require(s.Policy == policyLocal || s.Policy == policyNaive, "policy", `"local" or "naive"`)
	require(s.LogLinesPerSecond >= 1, "log_lines_per_second", "at least 1")
	require(s.FlowLifetimeSeconds >= 1, "flow_lifetime_seconds", "at least 1")
	require(s.StopMS >= 0, "stop_ms", "at least 0")
	require(s.MaxFlows >= 1, "max_flows", "at least 1")
	require(s.CPUShare > 0, "cpu_share", "above 0")
	require(s.LinkMbps > 0, "link_mbps", "above 0")
	return errors.Join(problems...)
}

// capacity returns the VM's capacity on a coarse logarithmic scale, so that VMs of the same kind
// are equal. The link takes precedence over the processor, because the VMs that read the store
// send their view to many others.
func (s *Settings) capacity() int {
	logSteps := func(value float64) int { return int(math.Floor(math.Log2(value))) }
	const unitsPerCore = 100 // a hundredth of a core is step 0
	return 100*logSteps(s.LinkMbps) + logSteps(unitsPerCore*s.CPUShare)
}

// viewBytesPerSecond returns the share of the link that may be used for views that other VMs
// fetch. The rest is reserved for packets.
func (s *Settings) viewBytesPerSecond() int {
	const share, bytesInMegabit = 0.25, 125000
	return int(share * bytesInMegabit * s.LinkMbps)
}

// policy returns the policy that the settings name. With shared load, "local" places new flows by it.
func (s *Settings) policy(parts Parts) inband.Policy {
	switch {
	case s.Policy == policyNaive:
		return inband.Naive{}
	case parts.SharesLoad:
		return inband.Shared{}
	default:
		return inband.Local{}
	}
}
