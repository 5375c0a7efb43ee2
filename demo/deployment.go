// Package demo runs a whole deployment in one process over loopback sockets: entry VMs,
// a stand-in platform, a stand-in packet-spraying fabric, and real HTTP/3 clients and
// targets. While clients generate load, targets and entry VMs join, leave and fail, and the
// demo counts every violation of a guarantee.
package demo

import (
	"fmt"
	"slices"
)

// Capacity of a target, equal in both deployments.
const (
	slotsPerHost       = 2
	connectionsPerHost = 2000
)

// service names the pool of a service and its number of hosts.
type service struct {
	pool  string
	hosts int
}

// deployment holds the names and sizes of a user's deployment.
type deployment struct {
	name         string
	prefer       string // what the user values more, the value of "prefer" in all pools
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

// DeploymentNames returns the names that Options.Deployment accepts, the default first.
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
