package operator

import (
	"log/slog"
	"sync"
	"time"
)

// Kind says what kind of change an audit record is about.
type Kind string

// Kinds of changes. docs/AUDIT.md tables them and a test compares the two.
const (
	// ChangedSettings means that a daemon started with its settings.
	ChangedSettings Kind = "settings"
	// ChangedTables means that a version of the tables came in force or was rejected.
	ChangedTables Kind = "tables"
	// ChangedList means that a version of the list came in force or was rejected.
	ChangedList Kind = "list"
	// ChangedMark means that the mark of a host was seen to change.
	ChangedMark Kind = "mark"
	// ChangedPeer means that an entry VM was suspected or heard again.
	ChangedPeer Kind = "peer"
	// ChangedTarget means that a target was ejected or used again.
	ChangedTarget Kind = "target"
	// ChangedVoting means that the daemon began or ceased to place flows that may not
	// be repeated.
	ChangedVoting Kind = "voting"
	// ChangedKey means that another key of the ring signs messages.
	ChangedKey Kind = "key"
	// ChangedState means that the daemon started, is leaving or stopped.
	ChangedState Kind = "state"
)

// Kinds returns every kind of change.
func Kinds() []Kind {
	return []Kind{
		ChangedSettings, ChangedTables, ChangedList, ChangedMark, ChangedPeer,
		ChangedTarget, ChangedVoting, ChangedKey, ChangedState,
	}
}

// Record is one change in force.
type Record struct {
	// Sequence numbers the records of one run of a daemon from 1.
	Sequence uint64 `json:"sequence"`
	// Time is the wall clock of the daemon, for people to read.
	Time time.Time `json:"time"`
	// Kind says what changed.
	Kind Kind `json:"kind"`
	// Subject names the thing that changed.
	Subject string `json:"subject"`
	// Before is the value that was in force.
	Before string `json:"before"`
	// After is the value in force now.
	After string `json:"after"`
	// Source says from where the change came.
	Source string `json:"source"`
}

// DefaultTrailSize is the number of records that a Trail keeps.
const DefaultTrailSize = 1024

// Trail keeps the latest changes in bounded memory and writes each as one log line. It
// may be used by several goroutines.
type Trail struct {
	log  *slog.Logger
	wall func() time.Time
	mu   sync.Mutex
	ring []Record
	next uint64
}

// NewTrail returns a Trail of the latest size records. The function wall tells the time
// that records carry.
func NewTrail(size int, log *slog.Logger, wall func() time.Time) *Trail {
	return &Trail{log: log, wall: wall, ring: make([]Record, 0, size)}
}

// Add records a change.
func (t *Trail) Add(kind Kind, subject, before, after, source string) {
	t.mu.Lock()
	t.next++
	r := Record{Sequence: t.next, Time: t.wall().UTC(), Kind: kind, Subject: subject, Before: before, After: after, Source: source}
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, r)
	} else {
		t.ring[(r.Sequence-1)%uint64(cap(t.ring))] = r
	}
	t.mu.Unlock()
	t.log.Info("change", "sequence", r.Sequence, "kind", string(kind), "subject", subject,
		"before", before, "after", after, "source", source)
}

// Records returns the records kept after the sequence number, oldest first.
func (t *Trail) Records(after uint64) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, 0, len(t.ring))
	for i := range uint64(len(t.ring)) {
		r := t.ring[(t.next+i)%uint64(len(t.ring))]
		if r.Sequence > after {
			records = append(records, r)
		}
	}
	return records
}

// Added returns the number of records since the start, kept or not.
func (t *Trail) Added() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}
