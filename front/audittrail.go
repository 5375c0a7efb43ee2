package front

import (
	"net/http"
	"sync"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/ring"
)

// maxTrailRecords limits the records of the audit trail.
const maxTrailRecords = 256

// AuditRecord is a change of the daemon's view or settings.
type AuditRecord struct {
	AtMS    clock.Millis `json:"at_ms"` // since the start of the process
	Subject string       `json:"subject"`
	Before  string       `json:"before"`
	After   string       `json:"after"`
	// Source is "store", the address of a sibling, the path of the settings file, or "not written again" for a change
	// that the store lost.
	Source string `json:"source"`
}

// auditTrail keeps the newest changes.
type auditTrail struct {
	mu      sync.Mutex
	records ring.Buffer[AuditRecord]
}

// add adds a record, which replaces the oldest one if the trail is full.
func (t *auditTrail) add(record AuditRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.Add(record, maxTrailRecords)
}

// list returns the records from oldest to newest.
func (t *auditTrail) list() []AuditRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.All()
}

// serveAudit answers with the audit trail.
func (d *Daemon) serveAudit(w http.ResponseWriter, _ *http.Request) {
	d.writeJSON(w, d.auditTrail.list())
}
