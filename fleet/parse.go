package fleet

import (
	_ "embed" // embeds the schema of the list
	"slices"
	"sync"

	"github.com/almondflow/almondflow/strictjson"
)

// ProblemsError lists every fault of a list document.
type ProblemsError = strictjson.ProblemsError

//go:embed list.schema.json
var listSchemaText []byte

var vmSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompileDefinition(listSchemaText, "vm")
})

//go:embed list_part.schema.json
var listPartSchemaText []byte

var listPartSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompile(listPartSchemaText)
})

var listSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompile(listSchemaText)
})

// ParseList reads a published list. It accepts all of the document or nothing of it;
// the error is a *ProblemsError that names every fault.
func ParseList(document []byte) (*List, error) {
	d := newListDraft()
	root, ok := listSchema().ReadElements("$", document, d.problems, d.elements())
	if !ok {
		return nil, d.problems.Err()
	}
	return d.list(uint64(root.Integer("version", 0)))
}

// ParseListParts reads a published list that is split into parts of the form
// {"vms": [...]}. It accepts all parts or none.
func ParseListParts(version uint64, parts []strictjson.Part) (*List, error) {
	d := newListDraft()
	d.readParts(parts)
	return d.list(version)
}

// ReplaceParts returns the version of the list in which the removed parts give way to
// the added ones, with the same checks as ParseListParts.
func (l *List) ReplaceParts(version uint64, removed, added []strictjson.Part) (*List, error) {
	before, after := newListDraft(), newListDraft()
	before.readParts(removed)
	gone := make(map[string]bool)
	for i := range before.entries {
		gone[before.entries[i].vm.name] = true
	}
	after.keep(l, gone)
	after.readParts(added)
	return after.list(version)
}

func (d *listDraft) readParts(parts []strictjson.Part) {
	for i := range parts {
		listPartSchema().ReadElements(parts[i].Name()+":$", parts[i].Document(), d.problems, d.elements())
	}
}

// elements says how the VMs of a document are read one at a time.
func (d *listDraft) elements() map[string]strictjson.Element {
	return map[string]strictjson.Element{"vms": strictjson.NewElement(vmSchema(), d.add)}
}

// keep adds the VMs of a list but those that are gone.
func (d *listDraft) keep(l *List, gone map[string]bool) {
	d.entries = slices.Grow(d.entries, len(l.vms))
	for i := range l.vms {
		if !gone[l.vms[i].name] {
			d.entries = append(d.entries, listEntry{vm: l.vms[i]})
		}
	}
}
