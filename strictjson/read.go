package strictjson

// Element says what becomes of each element of an array.
type Element struct {
	schema *Schema
	read   func(Object)
}

// NewElement returns an Element that is checked against the schema and then read.
func NewElement(schema *Schema, read func(Object)) Element {
	return Element{schema: schema, read: read}
}

func (e *Element) take(path string, value any, problems *Problems) {
	e.schema.Check(path, value, problems)
	e.read(NewObject(path, value))
}

// Read decodes a document, checks its structure and returns it. It reports false when
// the text is no JSON. Paths begin with root, "$" for a document of its own.
func (s *Schema) Read(root string, document []byte, problems *Problems) (Object, bool) {
	return s.ReadElements(root, document, problems, nil)
}

// ReadElements is Read for large documents: arrays that elements name by field are read
// one element at a time and are empty in what is returned.
func (s *Schema) ReadElements(root string, document []byte, problems *Problems, elements map[string]Element) (Object, bool) {
	value, ok := decode(root, document, problems, elements)
	if !ok {
		return Object{}, false
	}
	s.Check(root, value, problems)
	return NewObject(root, value), true
}

// CheckObject adds every fault of the structure of an object to problems. Anything but
// an object counts as an empty one.
func (s *Schema) CheckObject(o Object, problems *Problems) {
	s.Check(o.path, o.fields, problems)
}
