package operator

import (
	"github.com/almondflow/almondflow/flow"
)

// Status is the state of one daemon.
type Status struct {
	Name          string   `json:"name"`
	Domain        string   `json:"domain"`
	State         string   `json:"state"`
	Incarnation   uint64   `json:"incarnation"`
	UptimeSeconds int64    `json:"uptime_seconds"`
	TableVersion  uint64   `json:"table_version"`
	ListVersion   uint64   `json:"list_version"`
	Flows         int      `json:"flows"`
	Voting        bool     `json:"voting"`
	Peers         []Peer   `json:"peers"`
	Results       []Result `json:"results"`
}

// Peer is the state of another entry VM according to a daemon.
type Peer struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  string `json:"state"`
	Alive  bool   `json:"alive"`
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
	Target      string `json:"target"`
	Role        string `json:"role"`
}

// Holder is an entry VM that keeps the record of a flow.
type Holder struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Alive  bool   `json:"alive"`
}

// Explanation describes where a flow is forwarded and why.
type Explanation struct {
	Flow       string   `json:"flow"`
	Service    string   `json:"service"`
	Pool       string   `json:"pool"`
	Repeatable bool     `json:"repeatable"`
	HomeDomain string   `json:"home_domain"`
	Holders    []Holder `json:"holders"`
	Owner      string   `json:"owner"`
	Target     string   `json:"target"`
	Host       string   `json:"host"`
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
