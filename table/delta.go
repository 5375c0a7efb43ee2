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

// Delta returns the document that Apply turns base into s with.
func (s *Snapshot) Delta(base *Snapshot) []byte {
	m := deltaMessage{
		Base:       base.version,
		BaseDigest: digestText(base),
		Version:    s.version,
		Digest:     digestText(s),
	}
	walk(base.routes, s.routes, func(r *Route) string { return r.name },
		func(before, after *Route) {
			switch {
			case after == nil:
				m.RemoveRoutes = append(m.RemoveRoutes, before.name)
			case before == nil || before.digest != after.digest:
				m.Routes = append(m.Routes, after.message())
			}
		})
	walk(base.pools, s.pools, func(p *Pool) string { return p.name },
		func(before, after *Pool) {
			switch {
			case after == nil:
				m.RemovePools = append(m.RemovePools, before.name)
			case before == nil || !before.hasAttributesOf(after):
				m.Pools = append(m.Pools, after.message())
			case before.digest != after.digest:
				m.Edits = append(m.Edits, editOf(before, after))
			}
		})
	return encode(&m)
}

func editOf(before, after *Pool) editMessage {
	m := editMessage{Pool: after.name}
	visit := func(old, next *Host) {
		switch {
		case next == nil:
			m.RemoveHosts = append(m.RemoveHosts, old.name)
		case old == nil || old.message() != next.message():
			m.Hosts = append(m.Hosts, next.message())
		}
	}
	walk(pointers(before.hosts), pointers(after.hosts), func(h *Host) string { return h.name }, visit)
	return m
}

func pointers(hosts []Host) []*Host {
	list := make([]*Host, len(hosts))
	for i := range hosts {
		list[i] = &hosts[i]
	}
	return list
}

// walk visits the elements of two lists sorted by name, paired by name, where nil stands
// for an element that the list lacks. Elements that are the same are left out.
func walk[T any](before, after []*T, name func(*T) string, visit func(before, after *T)) {
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

func digestText(s *Snapshot) string {
	d := s.Digest()
	return hex.EncodeToString(d[:])
}

// Apply returns the version that a delta leads to from s, which stays as it is. The
// result passes the same checks as a whole document. The error is a *strictjson.BaseError
// when the delta starts elsewhere, strictjson.ErrDigest, or a *ProblemsError.
func (s *Snapshot) Apply(delta []byte) (*Snapshot, error) {
	d := newDraft()
	root, ok := compiled().delta.ReadElements("$", delta, d.problems, d.elements())
	if !ok {
		return nil, d.problems.Err()
	}
	base := uint64(root.Integer("base", 0))
	if base != s.version || root.Text("base_digest", "") != digestText(s) {
		return nil, strictjson.NewBaseError(s.version, base)
	}
	d.readEdits(s, root)
	next, err := d.compose(s, uint64(root.Integer("version", 0)))
	if err != nil {
		return nil, err
	}
	if digestText(next) != root.Text("digest", "") {
		return nil, strictjson.ErrDigest
	}
	return next, nil
}

// readEdits adds what a delta removes, and the pools with hosts that differ.
func (d *draft) readEdits(base *Snapshot, root strictjson.Object) {
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
		d.editPool(before, o)
	}
}

func (d *draft) editPool(before *Pool, o strictjson.Object) {
	gone := make(map[string]bool)
	for _, name := range o.Texts("remove_hosts") {
		gone[name] = true
	}
	edited := o.Objects("hosts")
	for _, h := range edited {
		compiled().host.CheckObject(h, d.problems)
		gone[h.Text("name", "")] = true
	}
	hosts := slices.DeleteFunc(slices.Clone(before.hosts), func(h Host) bool { return gone[h.name] })
	kept := len(hosts)
	for _, h := range edited {
		hosts = append(hosts, d.host(before.name, h))
	}
	d.pools = append(d.pools, &poolDraft{
		pool:      before.copyWith(hosts),
		path:      o.Root(),
		hostPaths: []hostPath{{path: o.Root() + ".kept"}, {start: kept, path: o.Path("hosts")}},
	})
}
