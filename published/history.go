package published

import (
	"crypto/sha256"
	"errors"

	"github.com/almondflow/almondflow/strictjson"
)

// maxVersions is the number of recent versions of a value that are kept as bases of
// deltas. Versions share the data that is equal in them.
const maxVersions = 8

// versioned is a parsed document from which a newer version can be derived by a delta or
// by replacing parts.
type versioned[T any] interface {
	Version() uint64
	Digest() [sha256.Size]byte
	Delta(base T) []byte
	Apply(delta []byte) (T, error)
	ReplaceParts(version uint64, removed, added []strictjson.Part) (T, error)
}

// history holds the most recent accepted versions of one value, newest last.
type history[T versioned[T]] struct {
	parse      func(document []byte) (T, error)
	parseParts func(version uint64, parts []strictjson.Part) (T, error)
	versions   []T
}

// find returns the kept version with the given number.
func (h *history[T]) find(version uint64) (T, bool) {
	for _, v := range h.versions {
		if v.Version() == version {
			return v, true
		}
	}
	var none T
	return none, false
}

// resolve returns the validated version that an update results in. It depends only on
// the update and, for deltas and parts, on a base version whose digest is known.
func (h *history[T]) resolve(update *Update) (T, error) {
	next, err := h.decode(update)
	if err != nil {
		return next, err
	}
	if next.Version() != update.version {
		return next, &VersionError{update.name, update.version, next.Version()}
	}
	return next, nil
}

func (h *history[T]) decode(update *Update) (T, error) {
	switch {
	case update.split != nil:
		return h.applyParts(update)
	case strictjson.IsDelta(update.document):
		return h.applyDelta(update.document)
	}
	return h.parse(update.document)
}

// applyDelta applies a delta to the kept version that it is based on.
func (h *history[T]) applyDelta(delta []byte) (T, error) {
	for i := len(h.versions) - 1; i >= 0; i-- {
		next, err := h.versions[i].Apply(delta)
		var base *strictjson.BaseMismatchError
		if !errors.As(err, &base) {
			return next, err
		}
	}
	var none T
	return none, strictjson.NewBaseMismatchError(h.newestVersion(), 0)
}

// applyParts applies the changed parts to their base version. If that fails, it parses
// all parts.
func (h *history[T]) applyParts(update *Update) (T, error) {
	if base, exists := h.find(update.split.base); exists {
		next, err := base.ReplaceParts(update.version, update.split.removed, update.split.added)
		if err == nil {
			return next, nil
		}
	}
	parts, err := update.Parts()
	if err != nil {
		var none T
		return none, err
	}
	return h.parseParts(update.version, parts)
}

func (h *history[T]) newestVersion() uint64 {
	if len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].Version()
}

// add appends the newest version and drops the oldest one if there are too many.
func (h *history[T]) add(version T) {
	if len(h.versions) == maxVersions {
		h.versions = append(h.versions[:0:0], h.versions[1:]...)
	}
	h.versions = append(h.versions, version)
}

// deltaSince returns the delta from version have to the newest one. It reports false if
// have is not among the kept versions or is the newest one.
func (h *history[T]) deltaSince(have State) ([]byte, bool) {
	base, exists := h.find(have.version)
	if !exists || h.newestVersion() == have.version {
		return nil, false
	}
	isSame := have.digest == Digest{} || have.digest == Digest(base.Digest())
	if !isSame {
		return nil, false
	}
	return h.versions[len(h.versions)-1].Delta(base), true
}
