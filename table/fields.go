package table

import (
	"net/netip"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/strictjson"
)

// Default values of optional fields.
const (
	defaultIdleTimeoutSeconds = 300
	defaultSlowStartSeconds   = 30
	defaultGeneration         = 1
	defaultWeight             = 1
)

// midFlowHash is the value of "mid_flow" for which Route.HashesUnknownFlows is true.
const midFlowHash = "hash"

func (d *draft) parseHost(pool string, o strictjson.Object) Host {
	name := o.Text("name", "")
	generation := uint32(o.Integer("generation", defaultGeneration))
	return Host{
		id:          flow.NewTargetID(pool, name, generation),
		name:        name,
		domain:      d.internDomain(o.Text("domain", "")),
		endpoint:    d.parseEndpoint(o, "address", "port"),
		state:       parseState(o.Text("mark", Serving.String())),
		generation:  generation,
		weight:      uint32(o.Integer("weight", defaultWeight)),
		maxRequests: uint32(o.Integer("slots", 0)),
		maxFlows:    uint32(o.Integer("connections", 0)),
	}
}

// parseSource reads the source prefix of a route. It returns the zero Prefix if there is
// none.
func (d *draft) parseSource(o strictjson.Object, destination flow.Endpoint) netip.Prefix {
	if !o.HasText("source") {
		return netip.Prefix{}
	}
	text := o.Text("source", "")
	path := o.Path("source")
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil || prefix.Addr().Is4In6():
		d.problems.Add(path, text, "must be an address prefix such as 10.0.0.0/8")
	case prefix != prefix.Masked():
		d.problems.Add(path, text, "bits after the prefix must be zero, as in %s", prefix.Masked())
	case !isUnset(destination) && prefix.Addr().Is4() != destination.Is4():
		d.problems.Add(path, text, "must be of the same address family as the destination")
	}
	return prefix
}

// parseEndpoint reads an address and a port. It returns the zero Endpoint if either is
// missing or invalid.
func (d *draft) parseEndpoint(o strictjson.Object, addressField, portField string) flow.Endpoint {
	if !o.HasText(addressField) {
		return flow.Endpoint{}
	}
	text := o.Text(addressField, "")
	address, err := strictjson.ParseAddr(text)
	if err != nil {
		d.problems.Add(o.Path(addressField), text, "%v", err)
		return flow.Endpoint{}
	}
	port := o.Integer(portField, 0)
	if port < 1 || port > 65_535 {
		return flow.Endpoint{}
	}
	return flow.NewEndpoint(netip.AddrPortFrom(address, uint16(port)))
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

func parseState(name string) State {
	for _, s := range []State{Serving, Joining, Leaving} {
		if s.String() == name {
			return s
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
