package targets

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
)

// Report is what one daemon tells the others about the target it probes.
type Report struct {
	id   flow.TargetID
	down bool
	age  clock.Millis
}

// NewReport builds a Report. age is the time since the daemon came to its finding.
func NewReport(id flow.TargetID, down bool, age clock.Millis) Report {
	return Report{id: id, down: down, age: age}
}

// ID returns the target.
func (r Report) ID() flow.TargetID { return r.id }

// Down reports whether probes of the target fail.
func (r Report) Down() bool { return r.down }

// Age returns the time since the finding.
func (r Report) Age() clock.Millis { return r.age }

// ReportSize is the length of an encoded Report in bytes.
const ReportSize = 10

// Layout of the last two bytes of an encoded report: a bit for down, then the age in
// units of ageUnit.
const (
	reportDown = 1 << 15
	ageMask    = reportDown - 1
	ageUnit    = 10 * clock.Millisecond
)

// Append appends the encoded report to b. Ages above 327 s are cut to that.
func (r Report) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(r.id))
	word := uint16(max(0, min(r.age/ageUnit, ageMask)))
	if r.down {
		word |= reportDown
	}
	return binary.BigEndian.AppendUint16(b, word)
}

// DecodeReport reads a report that Append wrote. It reports false when b is too short.
func DecodeReport(b []byte) (Report, bool) {
	if len(b) < ReportSize {
		return Report{}, false
	}
	word := binary.BigEndian.Uint16(b[8:])
	return Report{
		id:   flow.TargetID(binary.BigEndian.Uint64(b)),
		down: word&reportDown != 0,
		age:  clock.Millis(word&ageMask) * ageUnit,
	}, true
}
