package front

import (
	"net/http"
	"sync"

	"github.com/almondflow/almondflow/clock"
)

// maxTrailRecords limits the records of the audit trail.
const maxTrailRecords = 256

// AuditRecord is a change of the daemon's view or settings.
type AuditRecord struct {
	AtMS    clock.Millis `json:"at_ms"` // since the start of the process
	Subject string       `json:"subject"`
	Before  string       `json:"before"`
	After   string       `json:"after"`
	Source  string       `json:"source"` // "store", the address of a sibling, or the path of the settings file
}

// auditTrail keeps the newest changes in a ring buffer.
type auditTrail struct {
	mu      sync.Mutex
	records []AuditRecord
	next    int // index of the oldest record once the trail is full
}

// add adds a record, which replaces the oldest one if the trail is full.
func (t *auditTrail) add(record AuditRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) < maxTrailRecords {
		t.records = append(t.records, record)
		return
	}
	t.records[t.next] = record
	t.next = (t.next + 1) % maxTrailRecords
}

// list returns the records from oldest to newest.
func (t *auditTrail) list() []AuditRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(append([]AuditRecord{}, t.records[t.next:]...), t.records[:t.next]...)
}

// serveAudit answers with the audit trail.
func (d *Daemon) serveAudit(w http.ResponseWriter, _ *http.Request) {
	d.writeJSON(w, d.auditTrail.list())
}
