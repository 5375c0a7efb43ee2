//go:build review

package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

//go:embed wire.json
var wireText []byte

// wire holds the names and forms of the users' pages, which Go files outside of platform do not.
var wire = func() (w struct {
	RangePath            string `json:"range_path"`
	WatchPath            string `json:"watch_path"`
	ReadinessPath        string `json:"readiness_path"`
	WaitParameter        string `json:"wait_parameter"`
	ItemsFormat          string `json:"items_format"`
	EventsFormat         string `json:"events_format"`
	ConfigKey            string `json:"config_key"`
	HostsPrefix          string `json:"hosts_prefix"`
	LeavingState         string `json:"leaving_state"`
	EntryFormat          string `json:"entry_format"`
	RouteFormat          string `json:"route_format"`
	ConfigFormat         string `json:"config_format"`
	PacketPlaceholder    string `json:"packet_placeholder"`
	ReadinessPlaceholder string `json:"readiness_placeholder"`
	InternalPlaceholder  string `json:"internal_placeholder"`
}) {
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err)
	}
	return w
}()

const readyState = "ready"

// route is a route of the configuration.
type route struct {
	name            string
	address         netip.AddrPort
	kind            string
	timeoutMS       int
	targetLatencyMS int
	priority        int
}

// putConfig writes the configuration.
func (s *store) putConfig(routes ...route) {
	texts := make([]string, len(routes))
	for i, r := range routes {
		texts[i] = fmt.Sprintf(wire.RouteFormat, r.name, r.address.Addr(), r.address.Port(), r.kind, r.timeoutMS, r.targetLatencyMS, r.priority)
	}
	s.put(wire.ConfigKey, fmt.Sprintf(wire.ConfigFormat, strings.Join(texts, ",")))
}

// entry is what a host, or another writer, says of a host.
type entry struct {
	service string
	address string
	zone    string
	state   string
	seq     int64
	born    int64
}

// putEntry writes the entry of a host.
func (s *store) putEntry(id string, e entry) {
	s.put(wire.HostsPrefix+id, fmt.Sprintf(wire.EntryFormat, e.service, e.address, e.zone, e.state, e.seq, e.born))
}
