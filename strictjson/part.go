package strictjson

// Part is one of the documents that a split document consists of. Its name begins the
// paths of its faults.
type Part struct {
	name     string
	document []byte
}

// NewPart builds a Part.
func NewPart(name string, document []byte) Part { return Part{name: name, document: document} }

// Name returns the name.
func (p *Part) Name() string { return p.name }

// Document returns the JSON text.
func (p *Part) Document() []byte { return p.document }

// Read decodes one part or whole document, checks its structure and returns it. It
// reports false when the text is no JSON.
func (s *Schema) Read(root string, document []byte, problems *Problems) (Object, bool) {
	value, ok := Decode(root, document, problems)
	if !ok {
		return Object{}, false
	}
	s.Check(root, value, problems)
	return NewObject(root, value), true
}
