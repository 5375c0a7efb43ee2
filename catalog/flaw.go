package catalog

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// contradictionTime is how long an entry that contradicts the target's earlier ones must stand alone until it is
// believed. A target that runs writes its own several times meanwhile.
const contradictionTime = 6 * clock.Second

// Flaw says why an entry of the store is not believed. The store may hold entries of other writers than the targets.
type Flaw uint8

// Flaws of entries, in the order in which they are looked for.
const (
	NoFlaw Flaw = iota
	// Unreadable is an entry that lacks a field, or has one that cannot be read.
	Unreadable
	// SharedNumber is an entry whose key holds the number of another target.
	SharedNumber
	// UnnamedService is an entry of a service that the tables do not name.
	UnnamedService
	// EarlierStart is an entry of a start before the one that is known.
	EarlierStart
	// MovedWithoutStart is an entry of a start that is known, with another service, address or failure domain.
	MovedWithoutStart
	// FlawCount is the number of flaws, including NoFlaw.
	FlawCount
)

// String returns the name of the flaw in logs and metrics.
func (f Flaw) String() string {
	switch f {
	case NoFlaw:
		return "none"
	case Unreadable:
		return "unreadable"
	case SharedNumber:
		return "shared_number"
	case UnnamedService:
		return "unnamed_service"
	case EarlierStart:
		return "earlier_start"
	case MovedWithoutStart:
		return "moved_without_start"
	default:
		return "unknown"
	}
}

// flawOf decides whether an entry that can be read is one of the target's own. It is asked before anything of the
// entry is believed, whichever way the entry came.
func (c *Catalog) flawOf(e *Entry, t *inband.Target) Flaw {
	holder := c.holders[t.Identity]
	switch {
	case c.contested[t.Identity] || holder != nil && holder.target.ID != t.ID:
		return SharedNumber
	case e.isNamed && e.continues(t): // the tables may no longer name the service of a target with open flows
		return NoFlaw
	case c.named == nil: // open flows do not wait for the tables
		return NoFlaw
	case !c.named[t.Service]:
		return UnnamedService
	case !e.isNamed:
		return NoFlaw
	case t.StartedAtMS < e.target.StartedAtMS:
		return EarlierStart
	case t.StartedAtMS == e.target.StartedAtMS:
		return MovedWithoutStart
	default:
		return NoFlaw
	}
}

// continues reports whether an entry is of the start, service and place of the target that are believed.
func (e *Entry) continues(t *inband.Target) bool {
	b := e.target
	return e.IsBelieved() && b.StartedAtMS == t.StartedAtMS && b.Service == t.Service && b.Address == t.Address && b.Domain == t.Domain
}

// IsBelieved reports whether an entry of the target was ever believed.
func (e *Entry) IsBelieved() bool { return e.target.Address.IsValid() }
