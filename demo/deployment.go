// Package demo runs a whole deployment in one process over loopback sockets: entry VMs,
// a stand-in platform, a stand-in packet-spraying fabric, and real HTTP/3 clients and
// targets. While clients work, targets and entry VMs come, go and fail, and the demo
// counts every promise that is broken.
package demo

import (
	"fmt"
	"slices"
)

// Shape of a target as both deployments have it.
const (
	slotsPerHost       = 2
	connectionsPerHost = 2000
)

// service is one pool of a deployment.
type service struct {
	pool  string
	hosts int
}

// deployment is the size and the names of one user's fleet.
type deployment struct {
	name         string
	prefer       string // what the user weighs more, as the pools say it
	domains      []string
	vmsPerDomain int
	booking      service
	photos       service
}

var deployments = []deployment{
	{
		name:         "marmara",
		prefer:       "flows",
		domains:      []string{"kadikoy", "besiktas", "umraniye", "bakirkoy"},
		vmsPerDomain: 2,
		booking:      service{pool: "booking-core", hosts: 14},
		photos:       service{pool: "portfolio-store", hosts: 4},
	},
	{
		name:         "valle",
		prefer:       "balance",
		domains:      []string{"valle-norte", "valle-centro", "valle-sur"},
		vmsPerDomain: 3,
		booking:      service{pool: "despacho", hosts: 14},
		photos:       service{pool: "evidencia", hosts: 4},
	},
}

// DeploymentNames returns the names that Options take.
func DeploymentNames() []string {
	names := make([]string, 0, len(deployments))
	for _, d := range deployments {
		names = append(names, d.name)
	}
	return names
}

func findDeployment(name string) (deployment, error) {
	at := slices.IndexFunc(deployments, func(d deployment) bool { return d.name == name })
	if at < 0 {
		return deployment{}, fmt.Errorf("deployment %q: want one of %q", name, DeploymentNames())
	}
	return deployments[at], nil
}
