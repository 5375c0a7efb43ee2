package member

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
)

// probe is a Probe that waits for its Answer.
type probe struct {
	sequence uint64
	target   fleet.ID
	sent     clock.Millis
	indirect bool // other members were asked to probe
	// requester and requested are the daemon that asked for the probe and its sequence
	// number; requester is 0 for the daemon's own probes.
	requester fleet.ID
	requested uint64
}

// maximumOutstanding bounds the probes that wait, those for others included.
const maximumOutstanding = 64

func (m *Machine) probeNext(now clock.Millis) {
	if now < m.nextProbe {
		return
	}
	m.nextProbe = max(m.nextProbe+m.currentPeriod(now), now)
	if target, ok := m.nextTarget(); ok {
		m.sendProbe(now, probe{target: target})
	}
}

// currentPeriod is shorter after a new list, a start and a pause, when the daemon has to
// hear from more than half of the fleet before it may vote.
func (m *Machine) currentPeriod(now clock.Millis) clock.Millis {
	if now < m.fastUntil && m.Voting(now).List == 0 {
		return m.period / fastFactor
	}
	return m.period
}

// nextTarget walks the partners in one random order, so that each is probed once a round
// and answers of all of them are never older than a round.
func (m *Machine) nextTarget() (fleet.ID, bool) {
	if len(m.partners) == 0 {
		return 0, false
	}
	m.next = (m.next + 1) % len(m.partners)
	return m.partners[m.next], true
}

// choosePartners picks the members that this daemon probes: all of a small fleet, else
// those that rank highest for it. A fixed choice keeps connections open, and each member
// is the partner of about as many others.
func (m *Machine) choosePartners() {
	m.partners = m.partners[:0]
	var scores [maximumPartners]uint64
	vms := m.list.VMs()
	for i := range vms {
		id := vms[i].ID()
		if m.peers[id] == nil {
			continue
		}
		m.partners = insertPartner(m.partners, &scores, id, fleet.Score(uint64(m.self), id))
	}
	formers := m.formers()
	m.partners = append(m.partners, formers[:min(len(formers), maximumPartners)]...)
	m.random.Shuffle(len(m.partners), func(i, j int) {
		m.partners[i], m.partners[j] = m.partners[j], m.partners[i]
	})
}

func insertPartner(partners []fleet.ID, scores *[maximumPartners]uint64, id fleet.ID, score uint64) []fleet.ID {
	at := len(partners)
	for at > 0 && scores[at-1] < score {
		at--
	}
	if at == maximumPartners {
		return partners
	}
	if len(partners) < maximumPartners {
		partners = append(partners, 0)
	}
	copy(partners[at+1:], partners[at:])
	copy(scores[at+1:], scores[at:])
	partners[at], scores[at] = id, score
	return partners
}

func (m *Machine) sendProbe(now clock.Millis, p probe) {
	if len(m.outstanding) >= maximumOutstanding {
		return
	}
	m.sequence++
	p.sequence = m.sequence
	p.sent = now
	message := m.compose(now, Probe, p.target, p.sequence)
	message.Wanted = m.wanted()
	if m.send(now, p.target, message) {
		m.outstanding = append(m.outstanding, p)
	}
}

// expireProbes asks others about members that stay silent and suspects those that they
// do not reach either.
func (m *Machine) expireProbes(now clock.Millis) {
	for i := range m.outstanding {
		p := &m.outstanding[i]
		if p.requester == 0 && !p.indirect && now-p.sent >= directTimeout {
			p.indirect = true
			m.askOthers(now, p.target, p.sequence)
		}
	}
	for _, p := range m.outstanding {
		if p.requester == 0 && now-p.sent >= probeTimeout {
			m.suspect(now, p.target)
		}
	}
	m.outstanding = slices.DeleteFunc(m.outstanding, func(p probe) bool {
		return now-p.sent >= probeTimeout
	})
}

func (m *Machine) askOthers(now clock.Millis, target fleet.ID, sequence uint64) {
	if p := m.peers[target]; p == nil || p.status != Alive {
		return
	}
	asked := 0
	for range len(m.partners) {
		if asked == indirectProbes {
			return
		}
		helper := m.randomAlive()
		if helper == 0 || helper == target {
			continue
		}
		request := m.compose(now, ProbeRequest, helper, sequence)
		request.Subject = target
		m.send(now, helper, request)
		asked++
	}
}

// randomAlive returns a random member, or 0 when it is not alive.
func (m *Machine) randomAlive() fleet.ID {
	id := m.partners[m.random.IntN(len(m.partners))]
	if p := m.peers[id]; p == nil || p.status != Alive {
		return 0
	}
	return id
}

// probeFor probes a member in the place of another daemon.
func (m *Machine) probeFor(now clock.Millis, from fleet.ID, message *Message) {
	if m.peers[message.Subject] == nil || m.peers[from] == nil {
		return
	}
	m.sendProbe(now, probe{target: message.Subject, requester: from, requested: message.Sequence})
}

func (m *Machine) receiveAnswer(now clock.Millis, from fleet.ID, message *Message) {
	at := slices.IndexFunc(m.outstanding, func(p probe) bool {
		return p.sequence == message.Sequence && p.target == from
	})
	if at < 0 {
		return
	}
	p := m.outstanding[at]
	m.outstanding = slices.Delete(m.outstanding, at, at+1)
	m.resume(now)
	m.record(now, from, p.sent, message)
	m.learnPredecessor(&message.Predecessor)
	if p.requester != 0 && m.peers[p.requester] != nil {
		report := m.compose(now, ProbeReport, p.requester, p.requested)
		report.Subject = from
		m.send(now, p.requester, report)
	}
}

// receiveReport ends a probe that another member saw answered. It supports no lease,
// which needs answers to this daemon's own probes.
func (m *Machine) receiveReport(message *Message) {
	m.outstanding = slices.DeleteFunc(m.outstanding, func(p probe) bool {
		return p.sequence == message.Sequence && p.target == message.Subject
	})
}
