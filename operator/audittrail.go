package operator

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/almondflow/almondflow/ring"
)

// ChangeKind is the kind of change in an audit record.
type ChangeKind string

// Kinds of changes. docs/AUDIT.md lists them, and a test compares the page with ChangeKinds.
const (
	// ChangedSettings means that a daemon started with its settings.
	ChangedSettings ChangeKind = "settings"
	// ChangedTables means that a version of the tables was applied or rejected.
	ChangedTables ChangeKind = "tables"
	// ChangedList means that a version of the list of entry VMs was applied or rejected.
	ChangedList ChangeKind = "list"
	// ChangedMark means that the mark of a host changed.
	ChangedMark ChangeKind = "mark"
	// ChangedPeer means that the membership status of an entry VM changed.
	ChangedPeer ChangeKind = "peer"
	// ChangedTarget means that a target was ejected or used again.
	ChangedTarget ChangeKind = "target"
	// ChangedVoting means that the daemon started or stopped placing non-repeatable
	// flows.
	ChangedVoting ChangeKind = "voting"
	// ChangedKey means that the key that signs messages changed.
	ChangedKey ChangeKind = "key"
	// ChangedState means that the daemon started, is leaving or stopped.
	ChangedState ChangeKind = "state"
)

// ChangeKinds returns all kinds of changes.
func ChangeKinds() []ChangeKind {
	return []ChangeKind{
		ChangedSettings, ChangedTables, ChangedList, ChangedMark, ChangedPeer,
		ChangedTarget, ChangedVoting, ChangedKey, ChangedState,
	}
}

// AuditRecord describes one change.
type AuditRecord struct {
	// Sequence is the number of the record. Each run of a daemon starts with 1.
	Sequence uint64 `json:"sequence"`
	// Time is the wall clock time of the daemon in UTC, for information only.
	Time time.Time `json:"time"`
	// Kind is the kind of change.
	Kind ChangeKind `json:"kind"`
	// Subject is the name of what changed.
	Subject string `json:"subject"`
	// Before is the value before the change.
	Before string `json:"before"`
	// After is the value after the change.
	After string `json:"after"`
	// Source is the origin of the change.
	Source string `json:"source"`
}

// DefaultAuditEntries is the default number of records that an AuditTrail keeps.
const DefaultAuditEntries = 1024

// AuditTrail keeps the latest changes in a ring buffer and logs each change. It is safe for
// concurrent use.
type AuditTrail struct {
	log *slog.Logger
	now func() time.Time
	// size is the number of records that are kept.
	size    int
	mu      sync.Mutex
	records ring.Buffer[AuditRecord]
	// last is the sequence number of the latest record, or 0.
	last uint64
}

// NewAuditTrail returns an AuditTrail that keeps the latest size records. The function now
// returns the wall clock time for the records.
func NewAuditTrail(size int, log *slog.Logger, now func() time.Time) *AuditTrail {
	return &AuditTrail{log: log, now: now, size: size}
}

// Add adds a record of a change and logs it.
func (t *AuditTrail) Add(kind ChangeKind, subject, before, after, source string) {
	t.mu.Lock()
	t.last++
	r := AuditRecord{Sequence: t.last, Time: t.now().UTC(), Kind: kind, Subject: subject, Before: before, After: after, Source: source}
	t.records.Add(r, t.size)
	t.mu.Unlock()
	t.log.Info("change", "sequence", r.Sequence, "kind", string(kind), "subject", subject,
		"before", before, "after", after, "source", source)
}

// Records returns the kept records with a sequence number above after, oldest first.
func (t *AuditTrail) Records(after uint64) []AuditRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(t.records.All(), func(r AuditRecord) bool { return r.Sequence <= after })
}

// Added returns the number of records added since the start, including those that are no
// longer kept.
func (t *AuditTrail) Added() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}
