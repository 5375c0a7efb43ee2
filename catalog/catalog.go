package catalog

import (
	"slices"
	"strconv"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
)

// maxTablesHistory is how many earlier versions of the tables are kept, so that siblings can be
// sent only the difference.
const maxTablesHistory = 8

// Catalog holds one entry VM's view of tables, targets and drains, and how old it is. It is not safe
// for concurrent use.
type Catalog struct {
	tables              *inband.Tables
	tablesHistory       []*inband.Tables // earlier versions, oldest first
	entries             map[string]*Entry
	drains              drain.Set
	hasAllDrains        bool // a list of all drains was merged
	revision            inband.Revision
	confirmedAt         clock.Millis // may be before the start of the process
	isConfirmed         bool
	hasFullRead         bool
	generation          uint64
	digest              uint64              // XOR of the hashes of all entries
	changedIDs          map[string]struct{} // entries that changed since the last TakeChanged
	expiryPossibleUntil clock.Millis        // until then, an entry that ends may have expired
	rewriteUntil        clock.Millis        // until then, the operator may write drains again that the store lost
	// What decides whether an entry is believed.
	named         map[string]bool    // services of the newest tables that were seen, also on the page of a full read
	namedVersion  int64              // of those tables
	hasNewNames   bool               // since entries were last reconsidered
	holders       map[uint64]*Entry  // target that a number is of
	contested     map[uint64]bool    // numbers of two targets that were learned of at once
	hasFirstView  bool               // a full read was merged
	flawed        map[string]passing // targets in whose place an entry stands that was passed over
	passedOverLog PassedOverLog
	contests      []Change // of targets whose number a merged one contests
	isTold        bool     // a sibling sent what is merged
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		entries: map[string]*Entry{}, changedIDs: map[string]struct{}{}, holders: map[uint64]*Entry{},
		contested: map[uint64]bool{}, flawed: map[string]passing{},
	}
}

// IsComplete reports whether the tables and all targets have been read at least once.
func (c *Catalog) IsComplete() bool { return c.hasFullRead && c.tables != nil }

// Tables returns the current tables, or nil if none have been read.
func (c *Catalog) Tables() *inband.Tables { return c.tables }

// Revision returns the store's revision up to which the catalog is complete.
func (c *Catalog) Revision() inband.Revision { return c.revision }

// Age returns the time since the catalog was last known to be up to date with the store.
// Before the first view it returns the time since the start of the process.
func (c *Catalog) Age(now clock.Millis) clock.Millis { return now - c.confirmedAt }

// Generation returns a counter that grows with every change that placement depends on.
func (c *Catalog) Generation() uint64 { return c.generation }

// Change describes one change of the catalog for logs and the audit trail.
type Change struct {
	Subject string
	Before  string
	After   string
	Target  *inband.Target // nil for tables and drains
	Drain   *drain.Mark    // nil for tables and targets
	Flaw    Flaw           // of the entry, if it was passed over
}

// Apply merges changes that were current at asOf and returns those that were new. Older
// versions of the tables and older revisions of entries are ignored, and so are targets that were read
// before the store came back from an older copy. If the changes hold a
// delta of the tables that does not fit the current ones, their targets are merged but the
// catalog's revision and age stay, because it still lacks the newer tables.
func (c *Catalog) Apply(now, asOf clock.Millis, changes *Changes) []Change {
	var merged []Change
	c.isTold = changes.FromSibling
	if t := c.newerTables(changes); t != nil {
		merged = append(merged, Change{Subject: "tables", Before: strconv.FormatInt(c.tablesVersion(), 10), After: strconv.FormatInt(t.Version, 10)})
		c.setTables(t)
		merged = append(merged, c.nameServices(now, t)...)
	}
	if !c.isOfEarlierEra(changes.Revision) {
		merged = append(merged, c.mergeTargets(now, changes.Targets)...)
		merged = append(merged, c.mergeDrains(now, changes)...)
	}
	if changes.Delta == nil || changes.Delta.Version <= c.tablesVersion() {
		c.Confirm(asOf, changes.Revision)
	}
	merged = append(merged, c.reconsider(now)...)
	if len(merged) > 0 {
		c.generation++
	}
	return merged
}

// MergePage merges one page of an unfinished full read, so that open flows of its targets can be
// forwarded before the rest arrives. The catalog's revision and age stay.
func (c *Catalog) MergePage(now clock.Millis, page *Changes) {
	c.isTold = false
	merged := append(c.nameServices(now, page.Tables), c.mergeTargets(now, page.Targets)...)
	if len(merged)+len(c.reconsider(now)) > 0 {
		c.generation++
	}
	c.MergeMarks(now, page.Drains)
}

// TakeChanged returns the entries that changed since the last call, ordered by id, except those of which nothing was
// ever believed.
func (c *Catalog) TakeChanged() []*Entry {
	all := make([]*Entry, 0, len(c.changedIDs))
	for id := range c.changedIDs {
		if e := c.entries[id]; e != nil && e.IsBelieved() {
			all = append(all, e)
		}
	}
	clear(c.changedIDs)
	sortByID(all)
	return all
}

// newerTables returns the tables that the changes hold, or nil if there are none that are newer
// than the current ones.
func (c *Catalog) newerTables(changes *Changes) *inband.Tables {
	t := changes.Tables
	if changes.Delta != nil {
		if applied, ok := changes.Delta.Apply(c.tables); ok {
			t = applied
		}
	}
	if t == nil || c.tables != nil && t.Version <= c.tables.Version {
		return nil
	}
	return t
}

func (c *Catalog) setTables(t *inband.Tables) {
	if c.tables != nil {
		c.tablesHistory = append(c.tablesHistory, c.tables)
		c.tablesHistory = c.tablesHistory[max(0, len(c.tablesHistory)-maxTablesHistory):]
	}
	c.tables = t
}

func (c *Catalog) tablesVersion() int64 {
	if c.tables == nil {
		return 0
	}
	return c.tables.Version
}

// Replace merges a full read that was current at asOf and returns what was new. Entries that
// the read lacks have ended, unless they are newer than it. After the store came back from an older copy,
// targets whose entries the copy lacks may run: they publish them again.
func (c *Catalog) Replace(now, asOf clock.Millis, changes *Changes) []Change {
	if c.hasFullRead && changes.Revision.Era() > c.revision.Era() {
		c.expiryPossibleUntil = now + expiryGrace
	}
	present := make(map[string]bool, len(changes.Targets))
	full := *changes
	full.Targets = slices.Clone(changes.Targets)
	for _, t := range changes.Targets {
		present[t.ID] = true
	}
	for id, e := range c.entries {
		isInStore := !e.hasEnded || e.target.PassedOver != nil
		if !present[id] && isInStore && e.target.Revision <= changes.Revision {
			full.Targets = append(full.Targets, &inband.Target{ID: id, State: inband.Gone, Revision: changes.Revision})
		}
	}
	c.hasFullRead = true
	merged := c.Apply(now, asOf, &full)
	c.hasFirstView = true
	return merged
}

// Confirm records that the catalog was complete up to a revision at asOf, which may be before
// the start of the process if the view came from a sibling. Older confirmations are ignored.
func (c *Catalog) Confirm(asOf clock.Millis, revision inband.Revision) {
	if c.isOfEarlierEra(revision) {
		return
	}
	isNewEra := revision.Era() > c.revision.Era()
	c.revision = max(c.revision, revision)
	wasStale := c.isConfirmed && asOf-c.confirmedAt > staleViewAge
	if wasStale {
		c.expiryPossibleUntil = asOf + expiryGrace
	}
	if isNewEra || wasStale {
		c.rewriteUntil = asOf + rewriteGrace
	}
	if !c.isConfirmed || asOf > c.confirmedAt {
		c.confirmedAt, c.isConfirmed = asOf, true
	}
}

// isOfEarlierEra reports whether a revision was given out before the store came back from an older copy.
func (c *Catalog) isOfEarlierEra(revision inband.Revision) bool {
	return revision.Era() < c.revision.Era()
}

// mayHaveExpired reports whether an entry whose end is seen now may have expired for lack of
// heartbeats: the view is stale, or was until a moment ago.
func (c *Catalog) mayHaveExpired(now clock.Millis) bool {
	return c.Age(now) > staleViewAge || now < c.expiryPossibleUntil
}

// Prune removes targets that left so long ago that none of their flows can still be open, and forgets
// drains that ended long ago. It reports whether it removed targets.
func (c *Catalog) Prune(now clock.Millis) bool {
	c.drains.Prune(now)
	before := len(c.entries)
	for id, e := range c.entries {
		if e.hasEnded && e.target.PassedOver == nil && now > e.endedAt+endedRetention {
			c.remove(id)
		}
	}
	return len(c.entries) < before
}

// remove forgets an entry that has ended.
func (c *Catalog) remove(id string) {
	e := c.entries[id]
	c.digest ^= e.hash()
	if c.holders[e.target.Identity] == e {
		delete(c.holders, e.target.Identity)
	}
	delete(c.flawed, id)
	delete(c.entries, id)
}

// Entries returns all entries, including ended ones, ordered by id.
func (c *Catalog) Entries() []*Entry {
	all := make([]*Entry, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	sortByID(all)
	return all
}
