package operator

import (
	"github.com/almondflow/almondflow/flow"
)

// Status is the state of one daemon.
type Status struct {
	Name          string   `json:"name"`
	Domain        string   `json:"domain"`
	State         string   `json:"state"`       // "serving" or "leaving"
	Incarnation   uint64   `json:"incarnation"` // of the daemon
	UptimeSeconds int64    `json:"uptime_seconds"`
	TableVersion  uint64   `json:"table_version"`
	ListVersion   uint64   `json:"list_version"` // of the list of entry VMs
	Flows         int      `json:"flows"`        // number of flows in the flow table
	Voting        bool     `json:"voting"`       // whether the daemon places non-repeatable flows
	Peers         []Peer   `json:"peers"`        // other entry VMs of the list
	Results       []Result `json:"results"`      // only those with a count above 0, ordered by code
}

// Peer is the state of another entry VM according to a daemon.
type Peer struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  string `json:"state"` // according to the list
	Alive  bool   `json:"alive"` // whether the daemon believes it alive
}

// Result is the number of packets with one result code.
type Result struct {
	Code  uint16 `json:"code"`
	Name  string `json:"name"`
	Count uint64 `json:"count"`
}

// Flow is one entry of the flow table of a daemon.
type Flow struct {
	Protocol    string `json:"protocol"`
	Source      string `json:"source"`
	Destination string `json:"destination"`
	Target      string `json:"target"` // address and port, or empty
	Role        string `json:"role"`   // "owner" or "copy"
}

// Holder is an entry VM that keeps the record of a flow.
type Holder struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Alive  bool   `json:"alive"` // whether the daemon believes it alive
}

// Explanation describes where a flow is forwarded and why.
type Explanation struct {
	Flow       string   `json:"flow"`
	Service    string   `json:"service"` // name of the route
	Pool       string   `json:"pool"`
	Repeatable bool     `json:"repeatable"`
	HomeDomain string   `json:"home_domain"` // failure domain of the highest holder
	Holders    []Holder `json:"holders"`     // highest rank first
	Owner      string   `json:"owner"`       // highest holder believed alive
	Target     string   `json:"target"`      // address and port, or empty if the daemon has no record of the flow
	Host       string   `json:"host"`        // of the target
	Reasons    []string `json:"reasons"`
}

// Daemon provides the data that a Server returns to operators.
type Daemon interface {
	// Status returns the state of the daemon.
	Status() Status
	// Flows returns up to limit flows of the daemon's flow table.
	Flows(limit int) []Flow
	// Explain returns where a flow is forwarded and why.
	Explain(key flow.Key) Explanation
}
