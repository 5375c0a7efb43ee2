package targets

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
)

// Report is the finding of one daemon about a target that it probes. Daemons pass on
// what they hear, so a report names the daemon that found it, and its age.
type Report struct {
	from fleet.ID
	id   flow.TargetID
	down bool
	age  clock.Millis
}

// NewReport builds a Report. age is the time since the daemon from confirmed it.
func NewReport(from fleet.ID, id flow.TargetID, down bool, age clock.Millis) Report {
	return Report{from: from, id: id, down: down, age: age}
}

// From returns the daemon that probes the target.
func (r Report) From() fleet.ID { return r.from }

// ID returns the target.
func (r Report) ID() flow.TargetID { return r.id }

// Down reports whether probes of the target fail.
func (r Report) Down() bool { return r.down }

// Age returns the time since the finding was confirmed.
func (r Report) Age() clock.Millis { return r.age }

// ReportSize is the length of an encoded Report in bytes.
const ReportSize = 18

// Layout of the last two bytes of an encoded report: a bit for down, then the age in
// units of ageUnit.
const (
	reportDown = 1 << 15
	ageMask    = reportDown - 1
	ageUnit    = 10 * clock.Millisecond
)

// Append appends the encoded report to b. Ages above 327 s are cut to that.
func (r Report) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(r.from))
	b = binary.BigEndian.AppendUint64(b, uint64(r.id))
	word := uint16(max(0, min(r.age/ageUnit, ageMask)))
	if r.down {
		word |= reportDown
	}
	return binary.BigEndian.AppendUint16(b, word)
}

// AppendReports appends the encoded reports to b.
func AppendReports(b []byte, reports []Report) []byte {
	for _, r := range reports {
		b = r.Append(b)
	}
	return b
}

// DecodeReports reads reports that AppendReports wrote. It reports false when b holds
// anything else.
func DecodeReports(b []byte) ([]Report, bool) {
	if len(b)%ReportSize != 0 {
		return nil, false
	}
	var reports []Report
	for ; len(b) > 0; b = b[ReportSize:] {
		word := binary.BigEndian.Uint16(b[16:])
		reports = append(reports, Report{
			from: fleet.ID(binary.BigEndian.Uint64(b)),
			id:   flow.TargetID(binary.BigEndian.Uint64(b[8:])),
			down: word&reportDown != 0,
			age:  clock.Millis(word&ageMask) * ageUnit,
		})
	}
	return reports, true
}
