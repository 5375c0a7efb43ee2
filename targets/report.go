package targets

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
)

// Report is the result of one daemon's probes of a target. Daemons forward the reports
// that they receive, so a report holds the daemon that made it and its age.
type Report struct {
	reporter fleet.ID
	id       flow.TargetID
	down     bool
	age      clock.Millis
}

// NewReport returns the report of a daemon that its probes of a target fail, if down is set,
// or succeed. age is the time since the reporter last confirmed it.
func NewReport(reporter fleet.ID, id flow.TargetID, down bool, age clock.Millis) Report {
	return Report{reporter: reporter, id: id, down: down, age: age}
}

// Reporter returns the daemon that probes the target.
func (r Report) Reporter() fleet.ID { return r.reporter }

// ID returns the ID of the target.
func (r Report) ID() flow.TargetID { return r.id }

// Down reports whether probes of the target fail.
func (r Report) Down() bool { return r.down }

// Age returns the time since the reporter last confirmed the report.
func (r Report) Age() clock.Millis { return r.age }

// ReportSize is the length of an encoded Report in bytes.
const ReportSize = 18

// Layout of the last two bytes of an encoded report: one bit that is set if the target is
// down, then the age in units of ageUnit.
const (
	downBit = 1 << 15
	ageMask = downBit - 1
	ageUnit = 10 * clock.Millisecond
)

// Append appends the encoded report to b. Ages above 327 s are encoded as that age.
func (r Report) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(r.reporter))
	b = binary.BigEndian.AppendUint64(b, uint64(r.id))
	downAndAge := uint16(max(0, min(r.age/ageUnit, ageMask)))
	if r.down {
		downAndAge |= downBit
	}
	return binary.BigEndian.AppendUint16(b, downAndAge)
}

// AppendReports appends the encoded reports to b.
func AppendReports(b []byte, reports []Report) []byte {
	for _, r := range reports {
		b = r.Append(b)
	}
	return b
}

// DecodeReports decodes reports that AppendReports encoded. It returns false if the length
// of b is not a multiple of ReportSize.
func DecodeReports(b []byte) ([]Report, bool) {
	if len(b)%ReportSize != 0 {
		return nil, false
	}
	var reports []Report
	for ; len(b) > 0; b = b[ReportSize:] {
		downAndAge := binary.BigEndian.Uint16(b[16:])
		reports = append(reports, Report{
			reporter: fleet.ID(binary.BigEndian.Uint64(b)),
			id:       flow.TargetID(binary.BigEndian.Uint64(b[8:])),
			down:     downAndAge&downBit != 0,
			age:      clock.Millis(downAndAge&ageMask) * ageUnit,
		})
	}
	return reports, true
}
