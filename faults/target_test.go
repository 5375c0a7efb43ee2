package faults

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
)

// target is a port of a host.
type target struct {
	simulation    *simulation
	kind          kind
	host          string
	domain        string
	endpoint      flow.Endpoint
	invertsHealth bool // the health endpoint reports the opposite of up
	up            bool
	state         string
	stateSince    clock.Millis
	stateVersion  uint64 // of the tables that set the state
	openFlows     map[flow.Endpoint]bool
	openings      int
}

// syncTargets adds the targets of new hosts in the published tables and updates the states
// of the others.
func (s *simulation) syncTargets() {
	for i := range s.platform.hosts {
		h := &s.platform.hosts[i]
		for k := range kinds {
			if h.photo != (k == upload) {
				continue
			}
			e := flow.NewEndpoint(netip.AddrPortFrom(netip.MustParseAddr(h.address()), uint16(k.port())))
			t := s.targetByEndpoint[e]
			if t == nil {
				t = &target{simulation: s, kind: k, host: h.name, domain: h.domain, endpoint: e, up: true, openFlows: map[flow.Endpoint]bool{}}
				s.targetByEndpoint[e] = t
				s.targets = append(s.targets, t)
			}
			if t.state != h.state {
				t.state, t.stateSince = h.state, s.now
				t.stateVersion = s.platform.tablesVersion
			}
		}
	}
}

// receive handles a packet that an entry VM forwarded.
func (t *target) receive(from *vm, p *packet.Packet) {
	if !t.up {
		return
	}
	key := p.Key()
	c := t.simulation.clients[key.Source()]
	if c == nil {
		return
	}
	data := payload(p)
	payloadType := byte(payloadOpening)
	if len(data) > 0 {
		payloadType = data[0]
	}
	isOpen := t.openFlows[key.Source()]
	if payloadType == payloadOpening && !isOpen && key.Protocol() == flow.TCP && t.shouldShed(&key) {
		t.resetOpening(from, c, &key, data)
		return
	}
	t.simulation.oracle.packetDelivered(from, c, t, payloadType)
	switch {
	case payloadType == payloadOpening && !isOpen:
		t.openFlows[key.Source()] = true
		t.openings++
	case payloadType == payloadEnd:
		delete(t.openFlows, key.Source())
		return
	case !isOpen:
		t.answer(&key, payloadReset, data)
		return
	}
	t.answer(&key, payloadAnswer, data)
}

// shouldShed reports whether the target resets an opening. It depends on the flow and the
// target only, so that all copies of an opening get the same answer.
func (t *target) shouldShed(key *flow.Key) bool {
	address := t.endpoint.Address16()
	seed := uint64(address[len(address)-1])<<16 + uint64(t.endpoint.Port())
	return int(key.Hash(seed)%100) < t.simulation.config.shedPercent
}

// resetOpening resets an opening. An opening that carries a payload counts as executed.
func (t *target) resetOpening(from *vm, c *client, key *flow.Key, data []byte) {
	t.simulation.tracef("%s shed by %s", c.key.String(), t.host)
	if len(data) > 0 {
		t.simulation.oracle.packetDelivered(from, c, t, payloadOpening)
	}
	t.answer(key, payloadReset, data)
}

// answer sends an answer to the client of a flow. data is the payload that it answers.
func (t *target) answer(key *flow.Key, payloadType byte, data []byte) {
	sequence := uint32(0)
	if len(data) >= 5 {
		sequence = binary.BigEndian.Uint32(data[1:])
	}
	body := binary.BigEndian.AppendUint32([]byte{payloadType}, sequence)
	body = binary.BigEndian.AppendUint32(body, t.simulation.clients[key.Source()].id)
	reverse := flow.NewKey(key.Protocol(), t.endpoint, key.Source())
	if key.Protocol() == flow.UDP {
		t.simulation.sendThroughFabric(t.domain, vmLatency, packet.AppendUDP(nil, reverse, body))
		return
	}
	flags := packet.ACK
	if payloadType == payloadReset {
		flags |= packet.RST
	}
	t.simulation.sendThroughFabric(t.domain, vmLatency, packet.AppendTCP(nil, reverse, packet.Segment{Flags: flags, Payload: body}))
}

// imbalance returns the ratio of the maximum to the mean number of open flows among the
// targets of a kind that are up and not leaving, or 0 if they have no open flows.
func (s *simulation) imbalance(k kind) float64 {
	var counts []int
	total := 0
	for _, t := range s.targets {
		if t.kind == k && t.up && t.state != "leaving" {
			counts = append(counts, len(t.openFlows))
			total += len(t.openFlows)
		}
	}
	if total == 0 {
		return 0
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(total)
}
