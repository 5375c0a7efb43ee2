package strictjson

// Part is one of the documents that a split document consists of. The paths of its
// problems start with its name.
type Part struct {
	name     string
	document []byte
}

// NewPart returns a Part with the name and the JSON text.
func NewPart(name string, document []byte) Part { return Part{name: name, document: document} }

// Name returns the name of the part.
func (p *Part) Name() string { return p.name }

// Document returns the JSON text of the part.
func (p *Part) Document() []byte { return p.document }
