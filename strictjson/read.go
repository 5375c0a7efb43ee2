package strictjson

// ElementReader defines how each element of an array is checked and read.
type ElementReader struct {
	schema *Schema
	read   func(Object)
}

// NewElementReader returns an ElementReader that checks each array element against the
// schema and then passes it to read, even if it is invalid.
func NewElementReader(schema *Schema, read func(Object)) ElementReader {
	return ElementReader{schema: schema, read: read}
}

func (e *ElementReader) process(path string, value any, problems *Problems) {
	e.schema.Check(path, value, problems)
	e.read(NewObject(path, value))
}

// Read decodes a document, checks it against the schema and returns it. It returns false
// if the document is not valid JSON. The paths of problems start with root, which is "$" for
// a separate document.
func (s *Schema) Read(root string, document []byte, problems *Problems) (Object, bool) {
	return s.ReadElements(root, document, problems, nil)
}

// ReadElements works as Read for large documents: the top-level arrays named in elements
// are read one element at a time and are empty in the returned Object.
func (s *Schema) ReadElements(root string, document []byte, problems *Problems, elements map[string]ElementReader) (Object, bool) {
	value, ok := decode(root, document, problems, elements)
	if !ok {
		return Object{}, false
	}
	s.Check(root, value, problems)
	return NewObject(root, value), true
}

// CheckObject checks an object against the schema and adds every violation to problems. An
// Object that was not created from a JSON object is checked as an empty one.
func (s *Schema) CheckObject(o Object, problems *Problems) {
	s.Check(o.path, o.fields, problems)
}
