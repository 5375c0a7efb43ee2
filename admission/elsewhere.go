package admission

import "github.com/almondflow/almondflow/clock"

// newsDelay is how long ago the load was as the news of other domains shows it: averages over up to 750 ms (package
// load), which come after a second or more.
const newsDelay = 2 * clock.Second

// elsewhere holds the answers of other failure domains to this VM's own requests. They show sooner than the news does
// that all domains are full.
type elsewhere struct {
	answers   answers
	updatedAt clock.Millis
	fullUntil clock.Millis
	sent      int // openings sent there since requests under way were counted
}

// add adds an answer. The other domains count as full if answers take longer than limit. usual is the response time
// that is assumed in advance, so that one late answer decides nothing.
func (e *elsewhere) add(now clock.Millis, responseTime, usual, limit float64) {
	e.fade(now)
	e.answers.add(responseTime, usual)
	if e.answers.blend(usual) > limit {
		e.fullUntil = now + newsDelay
	}
}

// fade lets the answers count less by the time since the last call.
func (e *elsewhere) fade(now clock.Millis) {
	e.answers.fade(now - e.updatedAt)
	e.updatedAt = now
}

// isFull reports whether answers from other domains were late since the time that the news of them shows.
func (e *elsewhere) isFull(now clock.Millis) bool { return now < e.fullUntil }

// takes reports whether one more opening may go there, beside the requests that were under way at the latest count: one
// may, and one for each recent answer. So the first ones show whether there is as much room as the news says.
func (e *elsewhere) takes(now clock.Millis, underWay int) bool {
	e.fade(now)
	return float64(underWay+e.sent) < 1+e.answers.count
}
