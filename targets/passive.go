package targets

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/placement"
)

const (
	// passiveOpenings is the number of openings from which a conclusion is drawn.
	passiveOpenings = 5
	// passiveGap is the least time between two conclusions, so that two bad ones in a row
	// are more than one short disturbance.
	passiveGap = 1 * clock.Second
	// passiveSpan is how long openings are gathered at most.
	passiveSpan = 30 * clock.Second
	// passiveFall is the number of bad conclusions in a row that eject a target.
	passiveFall = 2
	// goodDivisor bounds the failures of a good conclusion: one in so many openings.
	goodDivisor = 5
	// badDivisor is the same for a bad conclusion. Between the two nothing is concluded.
	badDivisor = 2
	// muteOpenings is the number of flows placed, for each entry VM that replies may pass,
	// without one packet of the target, that make a bad conclusion.
	muteOpenings = 4
	// muteSpan is the least time without a packet of the target for that.
	muteSpan = 3 * clock.Second
	// answerSpan is how long a good conclusion speaks against failed probes.
	answerSpan = 10 * clock.Second
	// backoffBase is how long a target is first ejected. Each time doubles it.
	backoffBase = 10 * clock.Second
	// backoffMost bounds the doubling.
	backoffMost = 5 * clock.Minute
)

// passive is what the flows of one target show.
type passive struct {
	// since is when the counts below began, next when a conclusion may be drawn again.
	since    clock.Millis
	next     clock.Millis
	answered int64
	resets   int64
	silences int64

	streak uint8
	// ejections counts the ejections since the target last did well.
	ejections uint8
	down      bool
	// silent says that the last bad conclusion came from silence more than resets.
	silent bool
	// until is when an ejected target is tried again.
	until clock.Millis
	// goodAt is the time of the last good conclusion.
	goodAt clock.Millis
	isGood bool

	// heardAt is when a packet of the target was last seen, or evidence first taken, and
	// unheard the number of flows placed since.
	heardAt clock.Millis
	isHeard bool
	unheard int64
}

// hear takes the part of evidence that needs no connection state: whether the target
// sends anything at all.
func (p *passive) hear(now clock.Millis, t *placement.Tally) {
	if p.heardAt == 0 {
		p.heardAt = now
	}
	if t.Replied() {
		p.isHeard, p.heardAt, p.unheard = true, now, 0
		return
	}
	p.unheard += t.Placed()
}

// isMute reports whether the target takes flows and sends nothing.
func (p *passive) isMute(now clock.Millis, vms int) bool {
	return now-p.heardAt >= muteSpan && !p.down && p.unheard >= int64(muteOpenings*max(vms, 1))
}

// mute draws a bad conclusion from a mute target and reports whether the state changed.
func (p *passive) mute(now clock.Millis) bool {
	p.unheard = 0
	return p.bad(now, true)
}

// add takes evidence and reports whether the state changed.
func (p *passive) add(now clock.Millis, t *placement.Tally) bool {
	if now-p.since > passiveSpan {
		p.clear(now)
	}
	p.answered += t.Answered()
	p.resets += t.Resets()
	p.silences += t.Unanswered()
	failures := p.resets + p.silences
	openings := p.answered + failures
	if openings < passiveOpenings || now < p.next {
		return false
	}
	silent := p.silences > p.resets
	p.next = now + passiveGap
	p.clear(now)
	switch {
	case failures*goodDivisor <= openings:
		return p.good(now)
	case failures*badDivisor >= openings:
		return p.bad(now, silent)
	default:
		p.streak = 0
		return false
	}
}

func (p *passive) clear(now clock.Millis) {
	p.since, p.answered, p.resets, p.silences = now, 0, 0, 0
}

func (p *passive) good(now clock.Millis) bool {
	changed := p.down || !p.answers(now)
	p.isGood, p.goodAt = true, now
	p.streak, p.ejections, p.down = 0, 0, false
	return changed
}

func (p *passive) bad(now clock.Millis, silent bool) bool {
	wasGood := p.isGood
	p.isGood, p.silent = false, silent
	if p.down {
		return wasGood
	}
	p.streak++
	if p.streak < passiveFall {
		return wasGood
	}
	p.down, p.streak = true, 0
	p.until = now + min(backoffBase<<min(p.ejections, 10), backoffMost)
	p.ejections = min(p.ejections+1, 10)
	return true
}

// answers reports whether the target did well lately.
func (p *passive) answers(now clock.Millis) bool {
	return p.isGood && now-p.goodAt <= answerSpan
}

// tick ends an ejection that is over, and reports whether the state changed. The target
// is on trial then: one more bad conclusion ejects it again.
func (p *passive) tick(now clock.Millis) bool {
	if !p.down || now < p.until {
		return false
	}
	p.readmit()
	return true
}

// readmit puts an ejected target on trial.
func (p *passive) readmit() {
	p.down, p.streak = false, passiveFall-1
}
