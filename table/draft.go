package table

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

// draft holds added, changed and removed routes and pools, with the JSON paths where they
// were declared, until buildSnapshot applies them.
type draft struct {
	problems      *strictjson.Problems
	pools         []*poolDraft
	routes        []*routeDraft
	removedPools  map[string]bool
	removedRoutes map[string]bool
	retired       []retiredHost
	retiredPaths  map[replyKey]string
	// earlierPools holds the pools of the parts that were merged already, by name.
	earlierPools map[string]*poolDraft
	// mergedCount is the number of elements of pools that were merged already.
	mergedCount int
	// domains holds the names of failure domains that were read. See internDomain.
	domains map[string]string
}

type poolDraft struct {
	pool *Pool
	path string
	// hostSections holds the places of the hosts in order of declaration, at least one.
	// A pool that is split into several parts has several.
	hostSections []hostSection
}

// hostSection is the JSON path of the array that the hosts from index start on were
// declared in.
type hostSection struct {
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
		retiredPaths:  make(map[replyKey]string),
		earlierPools:  make(map[string]*poolDraft),
		domains:       make(map[string]string),
	}
}

// internDomain returns a shared copy of the name of a failure domain, to save memory.
func (d *draft) internDomain(name string) string {
	if known, exists := d.domains[name]; exists {
		return known
	}
	d.domains[name] = name
	return name
}

func (p *poolDraft) fieldPath(name string) string { return p.path + "." + name }

// hostPath returns the JSON path of host i in order of declaration.
func (p *poolDraft) hostPath(i int) string {
	section := len(p.hostSections) - 1
	for p.hostSections[section].start > i {
		section--
	}
	return strictjson.ElementPath(p.hostSections[section].path, i-p.hostSections[section].start)
}

func (r *routeDraft) fieldPath(name string) string { return r.path + "." + name }

func (d *draft) addPool(o strictjson.Object) {
	pool := &Pool{
		name:        o.Text("name", ""),
		preference:  parsePreference(o.Text("prefer", PreferFlows.String())),
		allowsSpill: o.Bool("spill", false),
		slowStart:   clock.Millis(o.Integer("slow_start_seconds", defaultSlowStartSeconds)) * clock.Second,
	}
	hosts := o.Objects("hosts")
	pool.hosts = make([]Host, 0, len(hosts))
	for _, h := range hosts {
		pool.hosts = append(pool.hosts, d.parseHost(pool.name, h))
	}
	d.pools = append(d.pools, &poolDraft{
		pool:         pool,
		path:         o.BasePath(),
		hostSections: []hostSection{{path: o.Path("hosts")}},
	})
}

// mergeSplitPools merges the pools of the last part read into the pools of the same name
// of earlier parts.
func (d *draft) mergeSplitPools() {
	kept := d.pools[:d.mergedCount]
	for _, p := range d.pools[d.mergedCount:] {
		first, exists := d.earlierPools[p.pool.name]
		if !exists {
			kept = append(kept, p)
			continue
		}
		if !first.pool.hasSameAttributes(p.pool) {
			d.problems.Add(p.fieldPath("name"), p.pool.name, "attributes of the pool differ from those at %s", first.path)
		}
		first.hostSections = append(first.hostSections, hostSection{start: len(first.pool.hosts), path: p.hostSections[0].path})
		first.pool.hosts = append(first.pool.hosts, p.pool.hosts...)
	}
	d.pools = kept
	for _, p := range kept[d.mergedCount:] {
		d.earlierPools[p.pool.name] = p
	}
	d.mergedCount = len(kept)
}

func (d *draft) addRoute(o strictjson.Object) {
	r := &Route{
		name:               o.Text("name", ""),
		destination:        d.parseEndpoint(o, "destination", "port"),
		protocol:           parseProtocol(o.Text("protocol", "")),
		repeatable:         o.Bool("repeatable", false),
		hashesUnknownFlows: o.Text("mid_flow", "") == midFlowHash,
		idleTimeout:        clock.Millis(o.Integer("idle_timeout_seconds", defaultIdleTimeoutSeconds)) * clock.Second,
	}
	r.source = d.parseSource(o, r.destination)
	d.routes = append(d.routes, &routeDraft{route: r, poolName: o.Text("pool", ""), path: o.BasePath()})
}

func (d *draft) addRetired(o strictjson.Object) {
	r := retiredHost{
		pool:        o.Text("pool", ""),
		name:        o.Text("name", ""),
		generation:  uint32(o.Integer("generation", defaultGeneration)),
		endpoint:    d.parseEndpoint(o, "address", "port"),
		protocol:    parseProtocol(o.Text("protocol", "")),
		destination: d.parseEndpoint(o, "destination", "destination_port"),
		expiresAt:   clock.Millis(o.Integer("remaining_seconds", 0)) * clock.Second,
	}
	if first, exists := d.retiredPaths[r.key()]; exists && !isUnset(r.endpoint) {
		d.problems.Add(o.Path("address"), r.endpoint.String(), "address and port are retired already at %s", first)
	}
	d.retiredPaths[r.key()] = o.BasePath()
	d.retired = append(d.retired, r)
}
