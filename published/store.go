package published

import (
	"errors"
	"sync"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/strictjson"
	"github.com/almondflow/almondflow/table"
)

// State identifies a version of a value by its number and digest.
type State struct {
	version uint64
	digest  Digest
}

// NewState returns the state of the version that a peer has. A zero digest means that the
// digest is unknown; the peer itself then detects a delta with another base.
func NewState(version uint64, digest Digest) State {
	return State{version: version, digest: digest}
}

// Version returns the version, or 0 if there is none.
func (s State) Version() uint64 { return s.version }

// Digest returns the digest of the canonical document.
func (s State) Digest() Digest { return s.digest }

// rejection is the last rejected version of a value, which is remembered so that it is
// not checked again each time a peer offers it.
type rejection struct {
	digest  Digest
	version uint64
	verdict Verdict
	err     error
}

// Store holds the current tables and the current member list, whether they came from the
// platform or from a peer. The current version of a value never decreases. Store is safe
// for concurrent use. Listeners are called one at a time in the order of the changes and
// must not call Offer. Lock order: offerMu, then mu.
type Store struct {
	// offerMu is held while an offer is checked and the listeners are called.
	offerMu    sync.Mutex
	rejections map[string]rejection
	listeners  []func(Change)

	mu            sync.Mutex
	tables        *table.Snapshot
	list          *fleet.List
	states        map[string]State
	tablesHistory history[*table.Snapshot]
	listHistory   history[*fleet.List]
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{
		states:        make(map[string]State),
		rejections:    make(map[string]rejection),
		tablesHistory: history[*table.Snapshot]{parse: table.Parse, parseParts: table.ParseParts},
		listHistory:   history[*fleet.List]{parse: fleet.ParseList, parseParts: fleet.ParseListParts},
	}
}

// Listen registers a function that is called with each later change.
func (s *Store) Listen(listener func(Change)) {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Tables returns the current tables, or nil.
func (s *Store) Tables() *table.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables
}

// List returns the current member list, or nil.
func (s *Store) List() *fleet.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// State returns the state of the current version of a value.
func (s *Store) State(name string) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[name]
}

// Document returns the current version of a value and its full document, which is
// compressed if it is long. Tables include the hosts that are retired at now. For
// Retired, the version is that of the tables. It reports false if there is no such value.
func (s *Store) Document(now clock.Millis, name string) (uint64, []byte, bool) {
	s.mu.Lock()
	tables, list := s.tables, s.list
	s.mu.Unlock()
	switch {
	case name == Tables && tables != nil:
		return tables.Version(), compress(tables.DocumentWithRetired(now)), true
	case name == List && list != nil:
		return list.Version(), compress(list.Document()), true
	case name == Retired && tables != nil:
		return tables.Version(), compress(tables.RetiredDocument(now)), true
	}
	return 0, nil, false
}

// Since returns the current version of a value for a peer whose version is have: as a
// delta if that version is among the kept ones, otherwise as the full document. It reports
// false if there is no such value or the peer has the current version. For Retired it
// returns the same as Document.
func (s *Store) Since(now clock.Millis, name string, have State) (uint64, []byte, bool) {
	if name == Retired {
		return s.Document(now, name)
	}
	s.mu.Lock()
	current := s.states[name]
	var delta []byte
	var isDelta bool
	if name == Tables {
		delta, isDelta = s.tablesHistory.deltaSince(have)
	} else {
		delta, isDelta = s.listHistory.deltaSince(have)
	}
	s.mu.Unlock()
	switch {
	case current == have || have.digest == Digest{} && current.version <= have.version:
		return 0, nil, false
	case isDelta:
		return current.version, compress(delta), true
	}
	return s.Document(now, name)
}

// Offer validates a document that a peer or the platform offers as the given version of a
// value, and makes it the current version if it is newer. The document may be a delta and
// may be compressed with gzip. The error is a *table.ProblemsError, *VersionError,
// *ConflictError, *strictjson.BaseMismatchError, strictjson.ErrDigestMismatch,
// ErrUnknownName or ErrTooLarge, or comes from the decompression. A known or stale version
// is not an error.
func (s *Store) Offer(now clock.Millis, source, name string, version uint64, document []byte) (Verdict, error) {
	return s.OfferUpdate(now, source, NewUpdate(name, version, document))
}

// OfferUpdate is like Offer for an update from a Poller, which may be of a split value.
func (s *Store) OfferUpdate(now clock.Millis, source string, update Update) (Verdict, error) {
	if update.name != Tables && update.name != List && update.name != Retired {
		return Rejected, ErrUnknownName
	}
	document, err := decompress(update.document)
	if err != nil {
		return Rejected, err
	}
	update.document = document
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	if update.name == Retired {
		return s.mergeRetired(now, source, update.document)
	}
	before := s.State(update.name)
	if update.version < before.version {
		return Stale, nil
	}
	digest := update.digest()
	if last, exists := s.rejections[update.name]; exists && last.digest == digest && last.version == update.version {
		return last.verdict, last.err
	}
	verdict, err := s.checkAndInstall(now, source, &update, before)
	if err != nil && verdict != NeedsFullDocument {
		s.rejections[update.name] = rejection{digest: digest, version: update.version, verdict: verdict, err: err}
	}
	return verdict, err
}

// mergeRetired adds the retired hosts that a peer knows to the current tables.
func (s *Store) mergeRetired(now clock.Millis, source string, document []byte) (Verdict, error) {
	before := s.Tables()
	if before == nil {
		return NeedsFullDocument, nil
	}
	tables, err := before.AddRetired(document, now)
	if err != nil {
		return Rejected, err
	}
	s.mu.Lock()
	s.tables = tables
	s.mu.Unlock()
	s.notify(Change{name: Tables, previousVersion: before.Version(), version: before.Version(), source: source, changedAt: now, tables: tables})
	return Known, nil
}

func (s *Store) notify(change Change) {
	for _, listener := range s.listeners {
		listener(change)
	}
}

// checkAndInstall validates an update and makes it the current version if it is newer
// than the current one.
func (s *Store) checkAndInstall(now clock.Millis, source string, update *Update, before State) (Verdict, error) {
	change := Change{name: update.name, previousVersion: before.version, version: update.version, source: source, changedAt: now}
	var digest Digest
	var err error
	if update.name == Tables {
		change.tables, err = s.tablesHistory.resolve(update)
		if err == nil {
			digest = change.tables.Digest()
		}
	} else {
		change.list, err = s.listHistory.resolve(update)
		if err == nil {
			digest = change.list.Digest()
		}
	}
	var base *strictjson.BaseMismatchError
	switch {
	case errors.As(err, &base):
		return NeedsFullDocument, err
	case err != nil:
		return Rejected, err
	case before.version != update.version:
		s.install(change, digest)
		return Accepted, nil
	case before.digest != digest:
		return Conflicting, &ConflictError{update.name, update.version, before.digest, digest}
	case change.tables != nil && change.tables.HasRetired():
		s.install(change, digest)
	}
	return Known, nil
}

// install makes validated tables or a validated list the current version and notifies the
// listeners.
func (s *Store) install(change Change, digest Digest) {
	s.mu.Lock()
	if change.tables != nil {
		if change.previousVersion != change.version {
			s.tablesHistory.add(change.tables.WithoutRetired())
		}
		change.tables = table.WithRetiredOf(s.tables, change.tables, change.changedAt)
		s.tables = change.tables
	} else {
		s.listHistory.add(change.list)
		s.list = change.list
	}
	s.states[change.name] = State{version: change.version, digest: digest}
	s.mu.Unlock()
	s.notify(change)
}
