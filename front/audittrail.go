package front

import (
	"net/http"
	"sync"

	"github.com/almondflow/almondflow/clock"
)

// maxTrailEntries limits the entries of the audit trail.
const maxTrailEntries = 256

// AuditEntry is a change of the daemon's view or settings.
type AuditEntry struct {
	AtMS    clock.Millis `json:"at_ms"` // since the start of the process
	Subject string       `json:"subject"`
	Before  string       `json:"before"`
	After   string       `json:"after"`
	Source  string       `json:"source"` // "store", the address of a sibling, or the path of the settings file
}

// auditTrail keeps the newest changes in a ring buffer.
type auditTrail struct {
	mu      sync.Mutex
	entries []AuditEntry
	next    int // index of the oldest entry once the trail is full
}

// add adds an entry, which replaces the oldest one if the trail is full.
func (t *auditTrail) add(entry AuditEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) < maxTrailEntries {
		t.entries = append(t.entries, entry)
		return
	}
	t.entries[t.next] = entry
	t.next = (t.next + 1) % maxTrailEntries
}

// list returns the entries from oldest to newest.
func (t *auditTrail) list() []AuditEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(append([]AuditEntry{}, t.entries[t.next:]...), t.entries[:t.next]...)
}

// serveAudit answers with the audit trail.
func (d *Daemon) serveAudit(w http.ResponseWriter, _ *http.Request) {
	d.writeJSON(w, d.auditTrail.list())
}
