//go:build review

package main

import (
	"fmt"
	"time"
)

// minPackets is how many packets have to reach other hosts for the rule FLOW (b).
const minPackets = 3

// arrived notes that a packet of a flow reached a host, which need not be the one that it is meant for.
func (w *world) arrived(h *host, p *segment) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.storyOf(p.Key)
	s.arrivals = append(s.arrivals, flowArrival{time.Now(), h})
}

func (w *world) storyOf(key flowKey) *flowStory {
	s := w.flows[key]
	if s == nil {
		s = &flowStory{}
		w.flows[key] = s
	}
	return s
}

func (w *world) flowOpened(h *host, key flowKey, at time.Time) {
	w.mu.Lock()
	s := w.storyOf(key)
	s.host, s.openedAt = h, at
	w.mu.Unlock()
	w.record.add("flow %v is open at %s", key.Client, h.id)
}

func (w *world) flowEnded(key flowKey) {
	w.mu.Lock()
	w.storyOf(key).endedAt = time.Now()
	w.mu.Unlock()
}

// clientReset judges FLOW (a): a reset that the flow's host did not send.
func (w *world) clientReset(key flowKey, isOfSystem bool) {
	w.mu.Lock()
	s := w.storyOf(key)
	own, hasEnded := s.host, !s.endedAt.IsZero()
	w.mu.Unlock()
	isOpen := own != nil && !hasEnded && own.holds(key)
	w.record.add("client %v gets a reset, by the system: %v", key.Client, isOfSystem)
	if isOpen {
		w.breakRule("FLOW (a): client %v got a reset that its flow's host %s did not send", key.Client, own.id)
	}
}

// judgeDrain judges DRAIN by an opening that a host took: it must not have been sent, and so not have arrived, later than
// drainTime after the store accepted that the host drains. The caller holds the host's lock.
func (w *world) judgeDrain(h *host, key flowKey) {
	w.mu.Lock()
	sentAt := w.storyOf(key).sentAt
	w.mu.Unlock()
	if late := sentAt.Sub(h.drainAckAt); !h.drainAckAt.IsZero() && late > drainTime {
		w.breakRule("DRAIN: %s took an opening of %v that was sent %.3f s after the store accepted that it drains", h.id, key.Client, late.Seconds())
	}
}

// sent notes what clients sent. The record would be long with each packet, so that only openings are told.
func (w *world) sent(p *segment) {
	if p.IsOpening() {
		w.mu.Lock()
		if s := w.storyOf(p.Key); s.sentAt.IsZero() {
			s.sentAt = time.Now()
		}
		w.mu.Unlock()
		w.record.add("client %v opens a flow to %v, copy %d", p.Key.Client, p.Key.Destination, p.Ack)
	}
}

// ran notes that a host began to work on a request.
func (w *world) ran(h *host, r request) {
	w.mu.Lock()
	w.runs[r.id]++
	runs := w.runs[r.id]
	w.mu.Unlock()
	w.record.add("%s runs request %s", h.id, r.id)
	if r.path == holdPath && h.service != bookingService {
		w.breakRule("ROUTE: hold %s is run by %s of %s", r.id, h.id, h.service)
	}
	if runs > 1 && r.method != "GET" {
		w.breakRule("request %s ran %d times", r.id, runs)
	}
}

// judgeStrays judges FLOW (b) when all is over: for reorderTime three or more of a flow's packets reached other hosts
// and none its own.
func (w *world) judgeStrays() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, s := range w.flows {
		if s.host == nil {
			continue
		}
		var strays []flowArrival
		for _, a := range s.arrivals {
			switch {
			case a.at.Before(s.openedAt) || !s.endedAt.IsZero() && a.at.After(s.endedAt):
			case a.host == s.host:
				strays = nil
			default:
				strays = append(strays, a)
			}
			if len(strays) >= minPackets && a.at.Sub(strays[0].at) >= reorderTime {
				w.broken = append(w.broken, fmt.Sprintf("FLOW (b): from %.3f to %.3f s %d packets of flow %v, open at %s, reached %s and none its own host",
					strays[0].at.Sub(w.record.start).Seconds(), a.at.Sub(w.record.start).Seconds(), len(strays), key.Client, s.host.id, a.host.id))
				break
			}
		}
	}
}

// await sleeps until a time after the start.
func (w *world) await(at time.Duration) { time.Sleep(time.Until(w.record.start.Add(at))) }
