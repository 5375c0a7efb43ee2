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
