package table

import (
	_ "embed" // embeds the schemas of the tables
	"sync"

	"github.com/almondflow/almondflow/strictjson"
)

// ProblemsError lists every problem found in a table document.
type ProblemsError = strictjson.ProblemsError

//go:embed table.schema.json
var tableSchemaText []byte

//go:embed table_part.schema.json
var partSchemaText []byte

//go:embed retired.schema.json
var retiredSchemaText []byte

// schemas holds the compiled forms of the embedded schemas.
type schemas struct {
	table   *strictjson.Schema
	part    *strictjson.Schema
	route   *strictjson.Schema
	pool    *strictjson.Schema
	host    *strictjson.Schema
	retired *strictjson.Schema
	delta   *strictjson.Schema
	// retiredList is the schema of the document that RetiredDocument returns.
	retiredList *strictjson.Schema
}

var compiledSchemas = sync.OnceValue(func() *schemas {
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

// Parse reads the tables. It accepts or rejects the document as a whole. The result
// depends on the document alone, so that every daemon accepts the same documents. The
// error is a *ProblemsError that lists every problem.
func Parse(document []byte) (*Snapshot, error) {
	d := newDraft()
	root, ok := compiledSchemas().table.ReadElements("$", document, d.problems, d.elementReaders())
	if !ok {
		return nil, d.problems.Err()
	}
	return d.buildSnapshot(nil, uint64(root.Integer("version", 0)))
}

// ParseParts reads tables that are split into parts of the form {"routes": [...],
// "pools": [...]}, where either field is optional. A large pool may be split into several
// parts with different hosts. ParseParts accepts or rejects all parts together. The error
// is a *ProblemsError that lists every problem of all parts.
func ParseParts(version uint64, parts []strictjson.Part) (*Snapshot, error) {
	d := newDraft()
	d.readParts(parts)
	return d.buildSnapshot(nil, version)
}

func (d *draft) readParts(parts []strictjson.Part) {
	for i := range parts {
		compiledSchemas().part.ReadElements(parts[i].Name()+":$", parts[i].Document(), d.problems, d.elementReaders())
		d.mergeSplitPools()
	}
}

// elementReaders returns the functions that read the large arrays of a document one
// element at a time, which limits the memory needed for a large document.
func (d *draft) elementReaders() map[string]strictjson.ElementReader {
	return map[string]strictjson.ElementReader{
		"routes":  strictjson.NewElementReader(compiledSchemas().route, d.addRoute),
		"pools":   strictjson.NewElementReader(compiledSchemas().pool, d.addPool),
		"retired": strictjson.NewElementReader(compiledSchemas().retired, d.addRetired),
	}
}
