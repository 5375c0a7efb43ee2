package fleet

import (
	_ "embed" // for the JSON schema of the list
	"slices"
	"sync"

	"github.com/almondflow/almondflow/strictjson"
)

// ProblemsError lists all problems of a list document.
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

// ParseList parses and checks a published list. The error is a *ProblemsError that lists
// all problems of the document.
func ParseList(document []byte) (*List, error) {
	b := newListBuilder()
	root, ok := listSchema().ReadElements("$", document, b.problems, b.elementReaders())
	if !ok {
		return nil, b.problems.Err()
	}
	return b.build(uint64(root.Integer("version", 0)))
}

// ParseListParts parses and checks a published list that is split into parts of the form
// {"vms": [...]}. The error is a *ProblemsError that lists all problems of all parts.
func ParseListParts(version uint64, parts []strictjson.Part) (*List, error) {
	b := newListBuilder()
	b.addParts(parts)
	return b.build(version)
}

// ReplaceParts returns the list with the VMs of the removed parts replaced by those of the
// added parts. The result is checked as by ParseListParts. The error is a *ProblemsError.
func (l *List) ReplaceParts(version uint64, removed, added []strictjson.Part) (*List, error) {
	old, next := newListBuilder(), newListBuilder()
	old.addParts(removed)
	replaced := make(map[string]bool)
	for i := range old.entries {
		replaced[old.entries[i].vm.name] = true
	}
	next.addExcept(l, replaced)
	next.addParts(added)
	return next.build(version)
}

// addParts adds the VMs of all parts.
func (b *listBuilder) addParts(parts []strictjson.Part) {
	for i := range parts {
		listPartSchema().ReadElements(parts[i].Name()+":$", parts[i].Document(), b.problems, b.elementReaders())
	}
}

// elementReaders returns the function that adds the VMs of a document one at a time, which
// limits the memory needed for a large document.
func (b *listBuilder) elementReaders() map[string]strictjson.ElementReader {
	return map[string]strictjson.ElementReader{"vms": strictjson.NewElementReader(vmSchema(), b.addVM)}
}

// addExcept adds the VMs of a list, except for those whose names are in replaced.
func (b *listBuilder) addExcept(l *List, replaced map[string]bool) {
	b.entries = slices.Grow(b.entries, len(l.vms))
	for i := range l.vms {
		if !replaced[l.vms[i].name] {
			b.entries = append(b.entries, listEntry{vm: l.vms[i]})
		}
	}
}
