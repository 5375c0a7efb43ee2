package table

import (
	"encoding/json"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

type documentMessage struct {
	Version uint64           `json:"version"`
	Routes  []routeMessage   `json:"routes"`
	Pools   []poolMessage    `json:"pools"`
	Retired []retiredMessage `json:"retired,omitempty"`
}

type retiredListMessage struct {
	Version uint64           `json:"version"`
	Retired []retiredMessage `json:"retired"`
}

type routeMessage struct {
	Name               string `json:"name"`
	Destination        string `json:"destination"`
	Port               uint16 `json:"port"`
	Protocol           string `json:"protocol"`
	Source             string `json:"source,omitempty"`
	Pool               string `json:"pool"`
	Repeatable         bool   `json:"repeatable"`
	IdleTimeoutSeconds int64  `json:"idle_timeout_seconds"`
	MidFlow            string `json:"mid_flow"`
}

type poolMessage struct {
	Name             string        `json:"name"`
	Prefer           string        `json:"prefer"`
	Spill            bool          `json:"spill"`
	SlowStartSeconds int64         `json:"slow_start_seconds"`
	Hosts            []hostMessage `json:"hosts"`
}

type hostMessage struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Port        uint16 `json:"port"`
	Domain      string `json:"domain"`
	Mark        string `json:"mark"`
	Generation  uint32 `json:"generation"`
	Weight      uint32 `json:"weight"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
}

type retiredMessage struct {
	Pool             string `json:"pool"`
	Name             string `json:"name"`
	Generation       uint32 `json:"generation"`
	Address          string `json:"address"`
	Port             uint16 `json:"port"`
	Protocol         string `json:"protocol"`
	Destination      string `json:"destination"`
	DestinationPort  uint16 `json:"destination_port"`
	RemainingSeconds int64  `json:"remaining_seconds"`
}

// Document returns the published part of the tables as canonical JSON, which Parse
// accepts: equal tables have equal documents. It excludes retired hosts, because each
// daemon keeps its own list of them.
func (s *Snapshot) Document() []byte {
	return encode(s.toMessage())
}

// DocumentWithRetired returns the document together with the hosts that are retired at now and
// the remaining lifetime of each. A daemon that has just started gets them from its peers
// this way.
func (s *Snapshot) DocumentWithRetired(now clock.Millis) []byte {
	m := s.toMessage()
	m.Retired = s.retiredMessages(now)
	return encode(m)
}

// RetiredDocument returns the hosts that are retired at now and the remaining lifetime of
// each, for a daemon that has the tables already. AddRetired reads it.
func (s *Snapshot) RetiredDocument(now clock.Millis) []byte {
	return encode(&retiredListMessage{Version: s.version, Retired: s.retiredMessages(now)})
}

func (s *Snapshot) retiredMessages(now clock.Millis) []retiredMessage {
	messages := make([]retiredMessage, 0, len(s.retired))
	for i := range s.retired {
		r := &s.retired[i]
		remaining := (r.expiresAt + s.expiryBase(now) - now) / clock.Second
		if remaining < 1 {
			continue
		}
		messages = append(messages, retiredMessage{
			Pool:             r.pool,
			Name:             r.name,
			Generation:       r.generation,
			Address:          addressText(r.endpoint),
			Port:             r.endpoint.Port(),
			Protocol:         r.protocol.String(),
			Destination:      addressText(r.destination),
			DestinationPort:  r.destination.Port(),
			RemainingSeconds: int64(remaining),
		})
	}
	return messages
}

func (s *Snapshot) toMessage() *documentMessage {
	m := &documentMessage{
		Version: s.version,
		Routes:  make([]routeMessage, 0, len(s.routes)),
		Pools:   make([]poolMessage, 0, len(s.pools)),
	}
	for _, r := range s.routes {
		m.Routes = append(m.Routes, r.toMessage())
	}
	for _, p := range s.pools {
		m.Pools = append(m.Pools, p.toMessage())
	}
	return m
}

func (r *Route) toMessage() routeMessage {
	m := routeMessage{
		Name:               r.name,
		Destination:        addressText(r.destination),
		Port:               r.destination.Port(),
		Protocol:           r.protocol.String(),
		Pool:               r.pool.name,
		Repeatable:         r.repeatable,
		IdleTimeoutSeconds: int64(r.idleTimeout / clock.Second),
		MidFlow:            "drop",
	}
	if r.source.IsValid() {
		m.Source = r.source.String()
	}
	if r.hashesUnknownFlows {
		m.MidFlow = midFlowHash
	}
	return m
}

func (p *Pool) toMessage() poolMessage {
	m := poolMessage{
		Name:             p.name,
		Prefer:           p.preference.String(),
		Spill:            p.allowsSpill,
		SlowStartSeconds: int64(p.slowStart / clock.Second),
		Hosts:            make([]hostMessage, 0, len(p.hosts)),
	}
	for i := range p.hosts {
		m.Hosts = append(m.Hosts, p.hosts[i].toMessage())
	}
	return m
}

func (h *Host) toMessage() hostMessage {
	return hostMessage{
		Name:        h.name,
		Address:     addressText(h.endpoint),
		Port:        h.endpoint.Port(),
		Domain:      h.domain,
		Mark:        h.state.String(),
		Generation:  h.generation,
		Weight:      h.weight,
		Slots:       h.maxRequests,
		Connections: h.maxFlows,
	}
}

func addressText(e flow.Endpoint) string { return e.AddrPort().Addr().String() }

func encode(m any) []byte {
	document, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings, integers and booleans always encode
	}
	return document
}
