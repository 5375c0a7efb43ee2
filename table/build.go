package table

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/strictjson"
)

// Values of fields that a document may leave out.
const (
	defaultIdleTimeoutSeconds = 300
	defaultSlowStartSeconds   = 30
	defaultGeneration         = 1
	defaultWeight             = 1
)

const midFlowHash = "hash"

func (b *builder) addPools(objects []strictjson.Object) {
	for _, o := range objects {
		pool := &Pool{
			name:      o.Text("name", ""),
			prefer:    parsePreference(o.Text("prefer", PreferFlows.String())),
			spill:     o.Bool("spill", false),
			slowStart: clock.Millis(o.Integer("slow_start_seconds", defaultSlowStartSeconds)) * clock.Second,
		}
		for _, h := range o.Objects("hosts") {
			pool.hosts = append(pool.hosts, b.host(pool.name, h))
		}
		b.pools = append(b.pools, &poolDraft{
			pool:      pool,
			path:      o.Path("name"),
			hostPaths: []hostPath{{path: o.Path("hosts")}},
		})
	}
}

// mergeFragments joins the pools of the part read last with the same pools of earlier
// parts.
func (b *builder) mergeFragments() {
	kept := b.pools[:b.merged]
	for _, d := range b.pools[b.merged:] {
		first, exists := b.earlier[d.pool.name]
		if !exists {
			kept = append(kept, d)
			continue
		}
		if !first.pool.hasAttributesOf(d.pool) {
			b.problems.Add(d.path, d.pool.name, "pool differs from its other part at %s", first.path)
		}
		first.hostPaths = append(first.hostPaths, hostPath{start: len(first.pool.hosts), path: d.hostPaths[0].path})
		first.pool.hosts = append(first.pool.hosts, d.pool.hosts...)
	}
	b.pools = kept
	for _, d := range kept[b.merged:] {
		b.earlier[d.pool.name] = d
	}
	b.merged = len(kept)
}

func (p *Pool) hasAttributesOf(q *Pool) bool {
	return p.prefer == q.prefer && p.spill == q.spill && p.slowStart == q.slowStart
}

func (b *builder) host(pool string, o strictjson.Object) Host {
	name := o.Text("name", "")
	generation := uint32(o.Integer("generation", defaultGeneration))
	return Host{
		id:          flow.NewTargetID(pool, name, generation),
		name:        name,
		domain:      o.Text("domain", ""),
		endpoint:    b.endpoint(o, "address", "port"),
		mark:        parseMark(o.Text("mark", Serving.String())),
		generation:  generation,
		weight:      uint32(o.Integer("weight", defaultWeight)),
		slots:       uint32(o.Integer("slots", 0)),
		connections: uint32(o.Integer("connections", 0)),
	}
}

func (b *builder) addRoutes(objects []strictjson.Object) {
	for _, o := range objects {
		r := &Route{
			name:        o.Text("name", ""),
			destination: b.endpoint(o, "destination", "port"),
			protocol:    parseProtocol(o.Text("protocol", "")),
			repeatable:  o.Bool("repeatable", false),
			hashDefault: o.Text("mid_flow", "") == midFlowHash,
			idleTimeout: clock.Millis(o.Integer("idle_timeout_seconds", defaultIdleTimeoutSeconds)) * clock.Second,
		}
		r.source = b.source(o, r.destination)
		b.routes = append(b.routes, &routeDraft{route: r, poolName: o.Text("pool", ""), path: o.Root()})
	}
}

func (b *builder) source(o strictjson.Object, destination flow.Endpoint) netip.Prefix {
	if !o.HasText("source") {
		return netip.Prefix{}
	}
	text := o.Text("source", "")
	path := o.Path("source")
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil || prefix.Addr().Is4In6():
		b.problems.Add(path, text, "must be an address prefix such as 10.0.0.0/8")
	case prefix != prefix.Masked():
		b.problems.Add(path, text, "bits after the prefix must be zero, as in %s", prefix.Masked())
	case !isUnset(destination) && prefix.Addr().Is4() != destination.Is4():
		b.problems.Add(path, text, "must be of the same address family as the destination")
	}
	return prefix
}

// endpoint reads an address and a port. It returns the zero Endpoint when either is wrong.
func (b *builder) endpoint(o strictjson.Object, addressField, portField string) flow.Endpoint {
	if !o.HasText(addressField) {
		return flow.Endpoint{}
	}
	text := o.Text(addressField, "")
	address, err := strictjson.ParseAddr(text)
	if err != nil {
		b.problems.Add(o.Path(addressField), text, "%v", err)
		return flow.Endpoint{}
	}
	port := o.Integer(portField, 0)
	if port < 1 || port > 65_535 {
		return flow.Endpoint{}
	}
	return flow.NewEndpoint(netip.AddrPortFrom(address, uint16(port)))
}

func (b *builder) addRetired(objects []strictjson.Object) {
	seen := make(map[replyKey]string, len(objects))
	for _, o := range objects {
		r := retired{
			pool:        o.Text("pool", ""),
			name:        o.Text("name", ""),
			generation:  uint32(o.Integer("generation", defaultGeneration)),
			endpoint:    b.endpoint(o, "address", "port"),
			protocol:    parseProtocol(o.Text("protocol", "")),
			destination: b.endpoint(o, "destination", "destination_port"),
			until:       clock.Millis(o.Integer("remaining_seconds", 0)) * clock.Second,
		}
		if first, exists := seen[r.key()]; exists && !isUnset(r.endpoint) {
			b.problems.Add(o.Path("address"), r.endpoint.String(), "address and port are retired already at %s", first)
		}
		seen[r.key()] = o.Path("address")
		b.retired = append(b.retired, r)
	}
}

func isUnset(e flow.Endpoint) bool { return e == flow.Endpoint{} }

func parseProtocol(name string) flow.Protocol {
	for _, p := range []flow.Protocol{flow.TCP, flow.UDP} {
		if p.String() == name {
			return p
		}
	}
	return 0
}

func parseMark(name string) Mark {
	for _, m := range []Mark{Serving, Joining, Leaving} {
		if m.String() == name {
			return m
		}
	}
	return 0
}

func parsePreference(name string) Preference {
	if name == PreferBalance.String() {
		return PreferBalance
	}
	return PreferFlows
}
