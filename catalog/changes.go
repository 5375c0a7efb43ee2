// Package catalog keeps one entry VM's view of the tables and targets in the platform's store,
// and decides when the VM reads the store itself instead of relying on its siblings. A view is
// the content of the store up to a revision; its age is the time since it was known to be current.
package catalog

import (
	"errors"

	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
)

// Errors of calls to the store. After any other error, the store may or may not have received
// the call.
var (
	// ErrNotFound means that the store has no entry with the requested key.
	ErrNotFound = errors.New("key not found in the store")
	// ErrHistoryLost means that the store no longer keeps the requested changes.
	ErrHistoryLost = errors.New("the store has discarded the requested changes")
	// ErrRejected means that the store rejected the call without processing it.
	ErrRejected = errors.New("the store rejected the call")
	// ErrTooLong means that the response is too long to be read within one call.
	ErrTooLong = errors.New("the response of the store is too long for one call")
)

// errEraChanged means that the store came back from an older copy in the middle of a full read.
var errEraChanged = errors.New("the store came back from an older copy during the read")

// InvalidEntry describes an entry of the store that cannot be used.
type InvalidEntry struct {
	Key      string
	Revision inband.Revision
	Reason   error
}

// Changes holds tables, targets and drains of failure domains that were read from the store or received
// from a sibling. A target in state Gone has left the store. One that is Unusable
// may have no other fields than its id. Changes may repeat and overlap.
type Changes struct {
	Tables         *inband.Tables      `json:"tables,omitempty"` // nil if the tables did not change
	Delta          *inband.TablesDelta `json:"delta,omitempty"`  // replaces Tables if set
	Targets        []*inband.Target    `json:"targets"`
	Drains         []drain.Mark        `json:"drains,omitempty"`
	HasAllDrains   bool                `json:"has_all_drains,omitempty"` // the drains of other domains ended by Revision
	Revision       inband.Revision     `json:"revision"`                 // up to which the changes are complete
	InvalidEntries []InvalidEntry      `json:"-"`
	FromSibling    bool                `json:"-"` // targets were judged by the sibling, and may be known to it for longer
}
