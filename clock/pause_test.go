package clock

import (
	"testing"

	"github.com/matryer/is"
)

// TestPauseDetectorReportsSuspension guards against suspensions that are missed, and against
// rounding that is reported as one.
func TestPauseDetectorReportsSuspension(t *testing.T) {
	is := is.New(t)
	monotonic := &Fake{}
	boot := Millis(7000)
	d := NewPauseDetectorWithClocks(monotonic, func() (Millis, error) { return boot, nil })
	steps := []struct{ monotonic, boot, want Millis }{
		{0, 0, 0},         // nothing to compare with on the first call
		{250, 250, 0},     // both clocks advanced
		{250, 4250, 4000}, // the machine was suspended
		{250, 249, 0},     // one millisecond of rounding is not a pause
		{250, 251, 1},     // the rounding is compensated
		{1000, 31000, 30000},
	}
	for _, s := range steps {
		monotonic.Advance(s.monotonic)
		boot += s.boot
		paused, err := d.PausedFor()
		is.NoErr(err)
		is.Equal(paused, s.want)
	}
}

// TestSystemReportsTimeSinceBoot guards against a system whose clock since boot cannot be
// read.
func TestSystemReportsTimeSinceBoot(t *testing.T) {
	is := is.New(t)
	_, err := NewPauseDetector(NewSystem()).PausedFor()
	is.NoErr(err)
}
