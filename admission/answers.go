package admission

import (
	"math"

	"github.com/almondflow/almondflow/clock"
)

// answersTime is the time constant with which answers count less and less. It is well below the delay of the news, which
// they have to precede, and above the response times that callers usually want, so that some remain.
const answersTime = 300 * clock.Millisecond

// answers measures the response time of this VM's own requests. Unlike the news of other VMs it is not late.
type answers struct {
	count, sum float64 // of the answers and of their response times in milliseconds, the latest counting most
}

// add adds an answer. Those that come sooner than a target can process a request count less, as full or failing
// targets refuse at once: reference is the usual time.
func (a *answers) add(responseTime, reference float64) {
	weight := 1.0
	if responseTime < reference {
		weight = responseTime / reference
	}
	a.count += weight
	a.sum += weight * responseTime
}

// mean returns the mean response time in milliseconds.
func (a *answers) mean() float64 { return a.sum / a.count }

// fade lets the answers count less after some time.
func (a *answers) fade(elapsed clock.Millis) {
	weight := math.Exp(-float64(elapsed) / float64(answersTime))
	a.count *= weight
	a.sum *= weight
}

// blend returns the mean of the own response time and the one by news, which is zero if news shows none.
func (a *answers) blend(byNews float64) float64 {
	weight := newsWeight
	if byNews == 0 {
		weight = 0
	}
	if a.count+weight < 1 {
		return 0
	}
	return (a.sum + weight*byNews) / (a.count + weight)
}
