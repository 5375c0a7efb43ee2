package faults

import (
	"fmt"
	"strings"

	"github.com/almondflow/almondflow/clock"
)

// kind is the purpose of a flow. Each kind has its own route and pool. The pools of feeds,
// lines and holds run on the same booking hosts.
type kind int

const (
	feed   kind = iota // UDP, long-lived
	line               // TCP, long-lived
	hold               // UDP, non-repeatable
	upload             // TCP, on the photo hosts
	kinds
)

var kindNames = [kinds]string{"feed", "line", "hold", "upload"}

func (k kind) protocol() string {
	if k == feed || k == hold {
		return "udp"
	}
	return "tcp"
}

func (k kind) repeatable() bool { return k != hold }

func (k kind) port() int { return 8440 + int(k) }

func (k kind) destination() string { return fmt.Sprintf("203.0.113.%d", 10+int(k)) }

const (
	idleTimeout = 60 * clock.Second
	holdTimeout = 15 * clock.Second
)

// document returns the tables as JSON.
func (p *platform) document() string {
	var routes, pools []string
	for k := range kinds {
		idle := idleTimeout
		if k == hold {
			idle = holdTimeout
		}
		routes = append(routes, fmt.Sprintf(
			`{"name":%q,"destination":%q,"port":443,"protocol":%q,"pool":%q,"repeatable":%t,"idle_timeout_seconds":%d}`,
			kindNames[k], k.destination(), k.protocol(), kindNames[k], k.repeatable(), idle/clock.Second))
		pools = append(pools, fmt.Sprintf(
			`{"name":%q,"prefer":"balance","spill":true,"slow_start_seconds":30,"hosts":[%s]}`,
			kindNames[k], strings.Join(p.poolHosts(k), ",")))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"pools":[%s]}`,
		p.tablesVersion, strings.Join(routes, ","), strings.Join(pools, ","))
}

// poolHosts returns the hosts of a kind's pool as JSON objects.
func (p *platform) poolHosts(k kind) []string {
	var hosts []string
	for _, h := range p.hosts {
		if h.photo != (k == upload) {
			continue
		}
		hosts = append(hosts, fmt.Sprintf(
			`{"name":%q,"address":%q,"port":%d,"domain":%q,"mark":%q,"generation":1,"weight":1}`,
			h.name, h.address(), k.port(), h.domain, h.state))
	}
	return hosts
}

func (h *hostEntry) address() string {
	if h.photo {
		return fmt.Sprintf("10.1.0.%d", h.number+1)
	}
	return fmt.Sprintf("10.0.0.%d", h.number+1)
}
