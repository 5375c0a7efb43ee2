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

// Parse reads the tables. It accepts all of the document or nothing of it, and depends
// on nothing but the document, so that every daemon decides alike. The error is a
// *ProblemsError that names every fault.
func Parse(document []byte) (*Snapshot, error) {
	problems := strictjson.NewProblems(result.TablesInvalid)
	value, ok := strictjson.Decode(document, problems)
	if !ok {
		return nil, problems.Err()
	}
	tableSchema().Check(value, problems)
	root := strictjson.NewObject("$", value)
	b := newBuilder(problems)
	b.addPools(root.Objects("pools"))
	b.addRoutes(root.Objects("routes"))
	b.addRetired(root.Objects("retired"))
	return b.snapshot(uint64(root.Integer("version", 0)))
}

// builder collects routes and pools and the places where they were declared.
type builder struct {
	problems *strictjson.Problems
	pools    []*poolDraft
	routes   []*routeDraft
	retired  []retired
}

type poolDraft struct {
	pool  *Pool
	path  string
	hosts []strictjson.Object
}

type routeDraft struct {
	route    *Route
	poolName string
	object   strictjson.Object
}

func newBuilder(problems *strictjson.Problems) *builder {
	return &builder{problems: problems}
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
