package peers

import "sync"

// Histories keeps the History of each document by name. It is safe for concurrent use,
// so that a Handler can answer from it.
type Histories struct {
	mu     sync.Mutex
	byName map[string]*History
}

// Add records the document of a higher version.
func (h *Histories) Add(name string, version uint64, document []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byName == nil {
		h.byName = make(map[string]*History)
	}
	if h.byName[name] == nil {
		h.byName[name] = &History{}
	}
	h.byName[name].Add(version, document)
}

// Document returns what History.Since does. It implements that method of Handler.
func (h *Histories) Document(name string, since uint64) (Document, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	history := h.byName[name]
	if history == nil {
		return Document{}, false
	}
	return history.Since(since)
}

// Whole returns the document itself, applying a delta to the version that it was made
// for. The error is ErrMismatch when this daemon has another version by now.
func (h *Histories) Whole(name string, document *Document) ([]byte, error) {
	h.mu.Lock()
	var old []byte
	if history := h.byName[name]; history != nil && history.version == document.base {
		old = history.current
	}
	h.mu.Unlock()
	return document.Whole(old)
}
