package inband

import "strconv"

// revisionNumberBits is the size of a revision's number. The other bits hold the era.
const revisionNumberBits = 48

// Limits on the parts of a revision.
const (
	MaxRevisionNumber = 1<<revisionNumberBits - 1
	MaxRevisionEra    = 1<<(64-revisionNumberBits) - 1
)

// Revision numbers the changes of the platform's store. Higher is newer. A store that came back from an older
// copy gives numbers out again; they belong to its next era, which goes before the number in the order.
type Revision uint64

// NewRevision returns the revision of an era with a number. Both must be within their limits.
func NewRevision(era, number uint64) Revision { return Revision(era<<revisionNumberBits | number) }

// Era returns how often the store had come back from an older copy when it gave the revision out.
func (r Revision) Era() uint64 { return uint64(r) >> revisionNumberBits }

// Number returns the revision as the store counts it.
func (r Revision) Number() uint64 { return uint64(r) & MaxRevisionNumber }

// String returns the number, after the era if the store has one.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + number
}
