//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

// names are those names of the platform's protocols that are data here, as no package but platform spells them.
type names struct {
	PacketsPlaceholder string `json:"packets_placeholder"`
	ReadyPlaceholder   string `json:"ready_placeholder"`
	SiblingPlaceholder string `json:"sibling_placeholder"`
	ReadinessPath      string `json:"readiness_path"`
	HostsPrefix        string `json:"hosts_prefix"`
	ConfigKey          string `json:"config_key"`
	LeavingState       string `json:"leaving_state"`
	SlowStartField     string `json:"slow_start_field"`
	TargetLatencyField string `json:"target_latency_field"`
	HealthPathField    string `json:"health_path_field"`
	ConnectionsField   string `json:"connections_field"`
	IdleField          string `json:"idle_field"`
}

//go:embed wire.json
var wireText []byte

var wire = readNames()

func readNames() names {
	var n names
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}
