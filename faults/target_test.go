package faults

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
)

// target is one port of one host.
type target struct {
	world         *world
	kind          kind
	host          string
	domain        string
	endpoint      flow.Endpoint
	lies          bool // the health endpoint says the opposite
	up            bool
	mark          string
	markedAt      clock.Millis
	markedVersion uint64 // of the tables that set the mark
	flows         map[flow.Endpoint]bool
	openings      int
}

// attachTargets brings the targets in line with the published tables.
func (w *world) attachTargets() {
	for i := range w.platform.hosts {
		h := &w.platform.hosts[i]
		for k := range kinds {
			if h.photo != (k == upload) {
				continue
			}
			e := flow.NewEndpoint(netip.AddrPortFrom(netip.MustParseAddr(h.address()), uint16(k.port())))
			t := w.byTarget[e]
			if t == nil {
				t = &target{world: w, kind: k, host: h.name, domain: h.domain, endpoint: e, up: true, flows: map[flow.Endpoint]bool{}}
				w.byTarget[e] = t
				w.targets = append(w.targets, t)
			}
			if t.mark != h.mark {
				t.mark, t.markedAt = h.mark, w.now
				t.markedVersion = w.platform.tablesVersion
			}
		}
	}
}

// receive takes a packet that an entry VM sent on.
func (t *target) receive(from *vm, p *packet.Packet) {
	if !t.up {
		return
	}
	key := p.Key()
	c := t.world.clients[key.Source()]
	if c == nil {
		return
	}
	payload := payloadOf(p)
	what := byte(opens)
	if len(payload) > 0 {
		what = payload[0]
	}
	known := t.flows[key.Source()]
	if what == opens && !known && key.Protocol() == flow.TCP && t.sheds(&key) {
		t.shed(from, c, &key, payload)
		return
	}
	t.world.oracle.delivered(from, c, t, what)
	switch {
	case what == opens && !known:
		t.flows[key.Source()] = true
		t.openings++
	case what == ends:
		delete(t.flows, key.Source())
		return
	case !known:
		t.answer(&key, resets, payload)
		return
	}
	t.answer(&key, answers, payload)
}

// sheds decides the same for every copy of an opening.
func (t *target) sheds(key *flow.Key) bool {
	address := t.endpoint.Address16()
	seed := uint64(address[len(address)-1])<<16 + uint64(t.endpoint.Port())
	return int(key.Hash(seed)%100) < t.world.config.shed
}

// shed resets an opening. One that carries payload was run by then.
func (t *target) shed(from *vm, c *client, key *flow.Key, payload []byte) {
	t.world.tracef("%s shed by %s", c.key.String(), t.host)
	if len(payload) > 0 {
		t.world.oracle.delivered(from, c, t, opens)
	}
	t.answer(key, resets, payload)
}

func (t *target) answer(key *flow.Key, what byte, payload []byte) {
	sequence := uint32(0)
	if len(payload) >= 5 {
		sequence = binary.BigEndian.Uint32(payload[1:])
	}
	body := binary.BigEndian.AppendUint32([]byte{what}, sequence)
	body = binary.BigEndian.AppendUint32(body, t.world.clients[key.Source()].number)
	back := flow.NewKey(key.Protocol(), t.endpoint, key.Source())
	if key.Protocol() == flow.UDP {
		t.world.fromFabric(t.domain, vmLatency, packet.AppendUDP(nil, back, body))
		return
	}
	flags := packet.ACK
	if what == resets {
		flags |= packet.RST
	}
	t.world.fromFabric(t.domain, vmLatency, packet.AppendTCP(nil, back, packet.Segment{Flags: flags, Payload: body}))
}

// imbalance returns the largest over the mean number of open flows of the serving hosts
// of a kind.
func (w *world) imbalance(k kind) float64 {
	var counts []int
	total := 0
	for _, t := range w.targets {
		if t.kind == k && t.up && t.mark != "leaving" {
			counts = append(counts, len(t.flows))
			total += len(t.flows)
		}
	}
	if total == 0 {
		return 0
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(total)
}
