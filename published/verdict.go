package published

import (
	"errors"
	"fmt"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/table"
)

// Verdict is a Store's decision about an offered version.
type Verdict uint8

// Verdicts of a Store.
const (
	// Accepted means that the offered version is now the current one.
	Accepted Verdict = iota + 1
	// Known means that the offered version already was the current one.
	Known
	// Stale means that the current version is higher.
	Stale
	// Conflicting means that the current version has the same number but differs.
	Conflicting
	// Rejected means that the document is invalid.
	Rejected
	// NeedsFullDocument means that the full document is needed, because the store lacks the
	// base version of a delta or the tables to which retired hosts belong.
	NeedsFullDocument
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	names := [...]string{"none", "accepted", "known", "stale", "conflicting", "rejected", "needs_whole"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

// ErrUnknownName is returned for an offered value whose name is not one of Tables, List
// and Retired.
var ErrUnknownName = errors.New("unknown value: neither tables nor list nor retired")

// ConflictError reports two different documents with the same version.
type ConflictError struct {
	name    string
	version uint64
	current Digest
	offered Digest
}

// Error names the value, the version and both digests.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s version %d has two different documents: current digest %s, rejected digest %s",
		e.name, e.version, e.current, e.offered)
}

// Change is the replacement of the current version of a value. PreviousVersion and Version
// are equal when only retired hosts were added to the current tables.
type Change struct {
	name            string
	previousVersion uint64
	version         uint64
	source          string
	changedAt       clock.Millis
	tables          *table.Snapshot
	list            *fleet.List
}

// Name returns Tables or List.
func (c *Change) Name() string { return c.name }

// PreviousVersion returns the previous version, or 0.
func (c *Change) PreviousVersion() uint64 { return c.previousVersion }

// Version returns the new current version.
func (c *Change) Version() uint64 { return c.version }

// Source returns the name of the peer that offered the version, or "platform".
func (c *Change) Source() string { return c.source }

// Time returns the time of the change.
func (c *Change) Time() clock.Millis { return c.changedAt }

// Tables returns the new tables, or nil if the member list changed.
func (c *Change) Tables() *table.Snapshot { return c.tables }

// List returns the new member list, or nil if the tables changed.
func (c *Change) List() *fleet.List { return c.list }

// VersionError reports a document whose version differs from the version under which it
// was offered.
type VersionError struct {
	name      string
	offered   uint64
	contained uint64
}

// Error names the value and both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s offered as version %d has version %d", e.name, e.offered, e.contained)
}
