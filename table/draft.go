package table

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

// draft collects routes and pools, and the places where they were declared, until
// compose makes a Snapshot of them.
type draft struct {
	problems      *strictjson.Problems
	pools         []*poolDraft
	routes        []*routeDraft
	removedPools  map[string]bool
	removedRoutes map[string]bool
	retired       []retired
	retiredKeys   map[replyKey]string
	// earlier holds the pools of the parts before the one read last, merged of them.
	earlier map[string]*poolDraft
	merged  int
	domains map[string]string
}

type poolDraft struct {
	pool *Pool
	path string
	// hostPaths holds the path of the first host of each part of the pool.
	hostPaths []hostPath
}

// hostPath says where the hosts from a position on were declared.
type hostPath struct {
	start int
	path  string
}

type routeDraft struct {
	route    *Route
	poolName string
	path     string
}

func newDraft() *draft {
	return &draft{
		problems:      strictjson.NewProblems(result.TablesInvalid),
		removedPools:  make(map[string]bool),
		removedRoutes: make(map[string]bool),
		retiredKeys:   make(map[replyKey]string),
		earlier:       make(map[string]*poolDraft),
		domains:       make(map[string]string),
	}
}

// intern returns one copy of each name of a failure domain.
func (d *draft) intern(name string) string {
	if known, exists := d.domains[name]; exists {
		return known
	}
	d.domains[name] = name
	return name
}

func (p *poolDraft) field(name string) string { return p.path + "." + name }

// hostPath returns the path of host i in the order of declaration.
func (p *poolDraft) hostPath(i int) string {
	at := len(p.hostPaths) - 1
	for p.hostPaths[at].start > i {
		at--
	}
	return strictjson.ElementPath(p.hostPaths[at].path, i-p.hostPaths[at].start)
}

func (r *routeDraft) field(name string) string { return r.path + "." + name }

func (d *draft) addPool(o strictjson.Object) {
	pool := &Pool{
		name:      o.Text("name", ""),
		prefer:    parsePreference(o.Text("prefer", PreferFlows.String())),
		spill:     o.Bool("spill", false),
		slowStart: clock.Millis(o.Integer("slow_start_seconds", defaultSlowStartSeconds)) * clock.Second,
	}
	hosts := o.Objects("hosts")
	pool.hosts = make([]Host, 0, len(hosts))
	for _, h := range hosts {
		pool.hosts = append(pool.hosts, d.host(pool.name, h))
	}
	d.pools = append(d.pools, &poolDraft{
		pool:      pool,
		path:      o.Root(),
		hostPaths: []hostPath{{path: o.Path("hosts")}},
	})
}

// mergeFragments joins the pools of the part read last with the same pools of earlier
// parts.
func (d *draft) mergeFragments() {
	kept := d.pools[:d.merged]
	for _, p := range d.pools[d.merged:] {
		first, exists := d.earlier[p.pool.name]
		if !exists {
			kept = append(kept, p)
			continue
		}
		if !first.pool.hasAttributesOf(p.pool) {
			d.problems.Add(p.field("name"), p.pool.name, "pool differs from its other part at %s", first.path)
		}
		first.hostPaths = append(first.hostPaths, hostPath{start: len(first.pool.hosts), path: p.hostPaths[0].path})
		first.pool.hosts = append(first.pool.hosts, p.pool.hosts...)
	}
	d.pools = kept
	for _, p := range kept[d.merged:] {
		d.earlier[p.pool.name] = p
	}
	d.merged = len(kept)
}

func (d *draft) addRoute(o strictjson.Object) {
	r := &Route{
		name:        o.Text("name", ""),
		destination: d.endpoint(o, "destination", "port"),
		protocol:    parseProtocol(o.Text("protocol", "")),
		repeatable:  o.Bool("repeatable", false),
		hashDefault: o.Text("mid_flow", "") == midFlowHash,
		idleTimeout: clock.Millis(o.Integer("idle_timeout_seconds", defaultIdleTimeoutSeconds)) * clock.Second,
	}
	r.source = d.source(o, r.destination)
	d.routes = append(d.routes, &routeDraft{route: r, poolName: o.Text("pool", ""), path: o.Root()})
}

func (d *draft) addRetired(o strictjson.Object) {
	r := retired{
		pool:        o.Text("pool", ""),
		name:        o.Text("name", ""),
		generation:  uint32(o.Integer("generation", defaultGeneration)),
		endpoint:    d.endpoint(o, "address", "port"),
		protocol:    parseProtocol(o.Text("protocol", "")),
		destination: d.endpoint(o, "destination", "destination_port"),
		until:       clock.Millis(o.Integer("remaining_seconds", 0)) * clock.Second,
	}
	if first, exists := d.retiredKeys[r.key()]; exists && !isUnset(r.endpoint) {
		d.problems.Add(o.Path("address"), r.endpoint.String(), "address and port are retired already at %s", first)
	}
	d.retiredKeys[r.key()] = o.Root()
	d.retired = append(d.retired, r)
}
