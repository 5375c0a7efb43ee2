package admission

import (
	"cmp"

	"github.com/almondflow/almondflow/clock"
)

const (
	// correctionTime is the time constant of the correction of a forecast. It is above the time that answers take,
	// so that they are compared with the forecasts for their requests.
	correctionTime = 500 * clock.Millisecond
	// minCorrection and maxCorrection bound the correction, as answers of a moment may be few.
	minCorrection = 0.5
	maxCorrection = 4.0
)

// Present is what is under way now at the pool's targets in this VM's own failure domain. The zero value is nothing
// known.
type Present struct {
	Busy        float64 // requests of all VMs, by what this VM has under way itself
	Slots       int
	ServiceTime float64 // in milliseconds by the news, or zero while it is not known
	Elsewhere   int     // requests that this VM has in other failure domains
}

// forecast is the response time of one more request by the requests under way now. These tell of a load as soon as it
// comes, but not how fast targets work, nor what VMs of other domains send there: that shows in the answers, which
// correct the forecast.
type forecast struct {
	present    Present
	predicted  answers // uncorrected forecasts of the time in which answers count
	correction float64 // answered over predicted response times, or zero while there is no answer
}

// uncorrected returns the response time in milliseconds without the correction, or zero if nothing is known.
// unloaded is the response time without load, or zero, and assumed the one until either is known.
func (f *forecast) uncorrected(unloaded, assumed float64) float64 {
	if f.present.Slots == 0 {
		return 0
	}
	return cmp.Or(unloaded, f.present.ServiceTime, assumed) * max(1, (f.present.Busy+1)/float64(f.present.Slots))
}

// update compares the forecasts with own answers and returns the new forecast in milliseconds, or zero if nothing is
// known.
func (f *forecast) update(elapsed clock.Millis, unloaded, assumed float64, own *answers) float64 {
	f.predicted.fade(elapsed)
	responseTime := f.uncorrected(unloaded, assumed)
	if responseTime == 0 {
		return 0
	}
	f.predicted.add(responseTime, 0)
	if own.count >= 1 {
		ratio := max(minCorrection, min(maxCorrection, own.mean()/f.predicted.mean()))
		previous := cmp.Or(f.correction, 1)
		f.correction = previous + weightAfter(elapsed, correctionTime)*(ratio-previous)
	}
	return cmp.Or(f.correction, 1) * responseTime
}
