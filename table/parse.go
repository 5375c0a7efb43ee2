package table

import (
	_ "embed" // embeds the schema of the tables
	"slices"
	"strings"
	"sync"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

// ProblemsError lists every fault of a table document.
type ProblemsError = strictjson.ProblemsError

//go:embed table.schema.json
var tableSchemaText []byte

var tableSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompile(tableSchemaText)
})

//go:embed table_part.schema.json
var tablePartSchemaText []byte

var tablePartSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompile(tablePartSchemaText)
})

// Parse reads the tables. It accepts all of the document or nothing of it, and depends
// on nothing but the document, so that every daemon decides alike. The error is a
// *ProblemsError that names every fault.
func Parse(document []byte) (*Snapshot, error) {
	problems := strictjson.NewProblems(result.TablesInvalid)
	root, ok := tableSchema().Read("$", document, problems)
	if !ok {
		return nil, problems.Err()
	}
	b := newBuilder(problems)
	b.addPools(root.Objects("pools"))
	b.addRoutes(root.Objects("routes"))
	b.addRetired(root.Objects("retired"))
	return b.snapshot(uint64(root.Integer("version", 0)))
}

// ParseParts reads tables that are split into parts of the form {"routes": [...],
// "pools": [...]}, where either may be left out. A large pool may stand in several
// parts with other hosts in each. It accepts all parts or none.
func ParseParts(version uint64, parts []strictjson.Part) (*Snapshot, error) {
	b := newBuilder(strictjson.NewProblems(result.TablesInvalid))
	for i := range parts {
		root, ok := tablePartSchema().Read(parts[i].Name()+":$", parts[i].Document(), b.problems)
		if !ok {
			continue
		}
		b.addPools(root.Objects("pools"))
		b.addRoutes(root.Objects("routes"))
		b.mergeFragments()
	}
	return b.snapshot(version)
}

// builder collects routes and pools and the places where they were declared.
type builder struct {
	problems *strictjson.Problems
	pools    []*poolDraft
	routes   []*routeDraft
	retired  []retired
	// earlier holds the pools of the parts before the one read last, merged of them.
	earlier map[string]*poolDraft
	merged  int
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

// hostPath returns the path of a field of host i.
func (d *poolDraft) hostPath(i int, field string) string {
	at := len(d.hostPaths) - 1
	for d.hostPaths[at].start > i {
		at--
	}
	return strictjson.ElementPath(d.hostPaths[at].path, i-d.hostPaths[at].start) + "." + field
}

type routeDraft struct {
	route    *Route
	poolName string
	path     string
}

func (d *routeDraft) field(name string) string { return d.path + "." + name }

func newBuilder(problems *strictjson.Problems) *builder {
	return &builder{problems: problems, earlier: make(map[string]*poolDraft)}
}

// snapshot joins what was collected, or returns every fault.
func (b *builder) snapshot(version uint64) (*Snapshot, error) {
	byName := b.checkPools()
	b.joinRoutes(byName)
	b.checkDestinations()
	b.checkHosts()
	if err := b.problems.Err(); err != nil {
		return nil, err
	}
	routes := make([]*Route, 0, len(b.routes))
	for _, d := range b.routes {
		routes = append(routes, d.route)
	}
	pools := make([]*Pool, 0, len(b.pools))
	for _, d := range b.pools {
		sortHosts(d.pool.hosts)
		pools = append(pools, d.pool)
	}
	slices.SortFunc(routes, func(a, b *Route) int { return strings.Compare(a.name, b.name) })
	slices.SortFunc(pools, func(a, b *Pool) int { return strings.Compare(a.name, b.name) })
	s := newSnapshot(version, routes, pools)
	s.setHanded(b.retired)
	return s, nil
}

func sortHosts(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.name, b.name) })
}
