package table

import (
	_ "embed" // embeds the schema of a delta
	"encoding/hex"
	"slices"

	"github.com/almondflow/almondflow/strictjson"
)

//go:embed delta.schema.json
var deltaSchemaText []byte

type deltaMessage struct {
	Base         uint64         `json:"base"`
	BaseDigest   string         `json:"base_digest"`
	Version      uint64         `json:"version"`
	Digest       string         `json:"digest"`
	RemoveRoutes []string       `json:"remove_routes,omitempty"`
	RemovePools  []string       `json:"remove_pools,omitempty"`
	Routes       []routeMessage `json:"routes,omitempty"`
	Pools        []poolMessage  `json:"pools,omitempty"`
	Edits        []editMessage  `json:"edits,omitempty"`
}

type editMessage struct {
	Pool        string        `json:"pool"`
	RemoveHosts []string      `json:"remove_hosts,omitempty"`
	Hosts       []hostMessage `json:"hosts,omitempty"`
}

// Delta returns the JSON document with the changes from base to s: base.Apply returns s
// when it is given this document.
func (s *Snapshot) Delta(base *Snapshot) []byte {
	m := deltaMessage{
		Base:       base.version,
		BaseDigest: hexDigest(base),
		Version:    s.version,
		Digest:     hexDigest(s),
	}
	compareSorted(base.routes, s.routes, func(r *Route) string { return r.name },
		func(before, after *Route) {
			switch {
			case after == nil:
				m.RemoveRoutes = append(m.RemoveRoutes, before.name)
			case before == nil || before.digest != after.digest:
				m.Routes = append(m.Routes, after.toMessage())
			}
		})
	compareSorted(base.pools, s.pools, func(p *Pool) string { return p.name },
		func(before, after *Pool) {
			switch {
			case after == nil:
				m.RemovePools = append(m.RemovePools, before.name)
			case before == nil || !before.hasSameAttributes(after):
				m.Pools = append(m.Pools, after.toMessage())
			case before.digest != after.digest:
				m.Edits = append(m.Edits, newPoolEdit(before, after))
			}
		})
	return encode(&m)
}

// newPoolEdit returns the differences between the hosts of two versions of a pool.
func newPoolEdit(before, after *Pool) editMessage {
	m := editMessage{Pool: after.name}
	visit := func(old, next *Host) {
		switch {
		case next == nil:
			m.RemoveHosts = append(m.RemoveHosts, old.name)
		case old == nil || old.toMessage() != next.toMessage():
			m.Hosts = append(m.Hosts, next.toMessage())
		}
	}
	compareSorted(hostPointers(before.hosts), hostPointers(after.hosts), func(h *Host) string { return h.name }, visit)
	return m
}

func hostPointers(hosts []Host) []*Host {
	list := make([]*Host, len(hosts))
	for i := range hosts {
		list[i] = &hosts[i]
	}
	return list
}

// compareSorted calls visit for each name in two lists that are sorted by name, with nil
// for an element that a list lacks. It skips elements that both lists share.
func compareSorted[T any](before, after []*T, name func(*T) string, visit func(before, after *T)) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && name(before[0]) < name(after[0]):
			visit(before[0], nil)
			before = before[1:]
		case len(before) == 0 || name(after[0]) < name(before[0]):
			visit(nil, after[0])
			after = after[1:]
		default:
			if before[0] != after[0] {
				visit(before[0], after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
}

func hexDigest(s *Snapshot) string {
	d := s.Digest()
	return hex.EncodeToString(d[:])
}

// Apply returns the version that results from applying a delta to s. It does not change s.
// The result passes the same checks as a full document. The error is a
// *strictjson.BaseMismatchError if the delta is based on other tables than s,
// strictjson.ErrDigestMismatch if the result does not have the expected digest, or a
// *ProblemsError.
func (s *Snapshot) Apply(delta []byte) (*Snapshot, error) {
	d := newDraft()
	root, ok := compiledSchemas().delta.ReadElements("$", delta, d.problems, d.elementReaders())
	if !ok {
		return nil, d.problems.Err()
	}
	base := uint64(root.Integer("base", 0))
	if base != s.version || root.Text("base_digest", "") != hexDigest(s) {
		return nil, strictjson.NewBaseMismatchError(s.version, base)
	}
	d.readChanges(s, root)
	next, err := d.buildSnapshot(s, uint64(root.Integer("version", 0)))
	if err != nil {
		return nil, err
	}
	if hexDigest(next) != root.Text("digest", "") {
		return nil, strictjson.ErrDigestMismatch
	}
	return next, nil
}

// readChanges adds the removals and the host edits of a delta to the draft.
func (d *draft) readChanges(base *Snapshot, root strictjson.Object) {
	for _, name := range root.Texts("remove_routes") {
		d.removedRoutes[name] = true
	}
	for _, name := range root.Texts("remove_pools") {
		d.removedPools[name] = true
	}
	for _, o := range root.Objects("edits") {
		before, exists := base.pool(o.Text("pool", ""))
		if !exists {
			d.problems.Add(o.Path("pool"), o.Text("pool", ""), "there is no pool of this name")
			continue
		}
		d.addPoolEdit(before, o)
	}
}

// addPoolEdit adds a copy of a pool with the host edits applied.
func (d *draft) addPoolEdit(before *Pool, o strictjson.Object) {
	removed := make(map[string]bool)
	for _, name := range o.Texts("remove_hosts") {
		removed[name] = true
	}
	edited := o.Objects("hosts")
	for _, h := range edited {
		compiledSchemas().host.CheckObject(h, d.problems)
		removed[h.Text("name", "")] = true
	}
	hosts := slices.DeleteFunc(slices.Clone(before.hosts), func(h Host) bool { return removed[h.name] })
	kept := len(hosts)
	for _, h := range edited {
		hosts = append(hosts, d.parseHost(before.name, h))
	}
	d.pools = append(d.pools, &poolDraft{
		pool:         before.withHosts(hosts),
		path:         o.BasePath(),
		hostSections: []hostSection{{path: o.BasePath() + ".kept"}, {start: kept, path: o.Path("hosts")}},
	})
}
