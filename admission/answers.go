package admission

import (
	"math"

	"github.com/almondflow/almondflow/clock"
)

// answersTime is the time constant with which answers count less and less.
const answersTime = 300 * clock.Millisecond

// answers measures the response time of this VM's own requests. Unlike the news of other VMs it is not late.
type answers struct {
	count, sum float64 // of the answers and of their response times in milliseconds, the latest counting most
}

func (a *answers) add(responseTime clock.Millis) {
	a.count++
	a.sum += float64(responseTime)
}

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
