package table

import (
	_ "embed" // embeds the schemas of the tables
	"sync"

	"github.com/almondflow/almondflow/strictjson"
)

// ProblemsError lists every fault of a table document.
type ProblemsError = strictjson.ProblemsError

//go:embed table.schema.json
var tableSchemaText []byte

//go:embed table_part.schema.json
var partSchemaText []byte

//go:embed retired.schema.json
var retiredSchemaText []byte

// schemas are the compiled forms of the embedded schemas.
type schemas struct {
	table   *strictjson.Schema
	part    *strictjson.Schema
	route   *strictjson.Schema
	pool    *strictjson.Schema
	host    *strictjson.Schema
	retired *strictjson.Schema
	delta   *strictjson.Schema
	// retiredList is the schema of what RetiredDocument returns.
	retiredList *strictjson.Schema
}

var compiled = sync.OnceValue(func() *schemas {
	return &schemas{
		table:   strictjson.MustCompile(tableSchemaText),
		part:    strictjson.MustCompile(partSchemaText),
		route:   strictjson.MustCompileDefinition(tableSchemaText, "route"),
		pool:    strictjson.MustCompileDefinition(tableSchemaText, "pool"),
		host:    strictjson.MustCompileDefinition(tableSchemaText, "host"),
		retired: strictjson.MustCompileDefinition(tableSchemaText, "retired"),
		delta:   strictjson.MustCompile(deltaSchemaText),

		retiredList: strictjson.MustCompile(retiredSchemaText),
	}
})

// Parse reads the tables. It accepts all of the document or nothing of it, and depends
// on nothing but the document, so that every daemon decides alike. The error is a
// *ProblemsError that names every fault.
func Parse(document []byte) (*Snapshot, error) {
	d := newDraft()
	root, ok := compiled().table.ReadElements("$", document, d.problems, d.elements())
	if !ok {
		return nil, d.problems.Err()
	}
	return d.compose(nil, uint64(root.Integer("version", 0)))
}

// ParseParts reads tables that are split into parts of the form {"routes": [...],
// "pools": [...]}, where either may be left out. A large pool may stand in several
// parts with other hosts in each. It accepts all parts or none.
func ParseParts(version uint64, parts []strictjson.Part) (*Snapshot, error) {
	d := newDraft()
	d.readParts(parts)
	return d.compose(nil, version)
}

func (d *draft) readParts(parts []strictjson.Part) {
	for i := range parts {
		compiled().part.ReadElements(parts[i].Name()+":$", parts[i].Document(), d.problems, d.elements())
		d.mergeFragments()
	}
}

// elements says how the arrays of a document are read one element at a time, which
// bounds the memory that a large document takes.
func (d *draft) elements() map[string]strictjson.Element {
	return map[string]strictjson.Element{
		"routes":  strictjson.NewElement(compiled().route, d.addRoute),
		"pools":   strictjson.NewElement(compiled().pool, d.addPool),
		"retired": strictjson.NewElement(compiled().retired, d.addRetired),
	}
}
