//go:build review

package main

import (
	"slices"
	"time"

	"github.com/almondflow/almondflow/inband"
)

// Limits of the ends of a flow, as the page on packets gives them.
const (
	maxInFlight     = 16
	maxDataBytes    = 1200
	firstRepeat     = 200 * time.Millisecond
	longestRepeat   = 1600 * time.Millisecond
	packetsPerAck   = 2
	hostMaxRepeats  = 8
	closeReset      = 76800
	openingCopy1    = 200 * time.Millisecond
	openingCopy2    = 600 * time.Millisecond
	openingDeadline = 1400 * time.Millisecond
)

// stream is one end of a flow: what it has sent and received.
type stream struct {
	key      flowKey // as the client sees it
	isHost   bool
	echo     inband.Tag
	sendNext uint32 // after the newest byte handed in
	unacked  []segment
	waiting  []segment // beyond the window
	receive  uint32    // next byte expected
	early    map[uint32][]byte
	got      []byte
	unsaid   int // packets with data that were not acknowledged yet
	repeatAt time.Time
	repeat   time.Duration
	repeats  int
}

// push hands in data to send.
func (s *stream) push(data []byte) {
	for chunk := range slices.Chunk(data, maxDataBytes) {
		s.waiting = append(s.waiting, segment{Packet: inband.Packet{Flags: inband.Acknowledging, Seq: s.sendNext}, data: chunk})
		s.sendNext += uint32(len(chunk))
	}
}

// due returns the packets to send now: new ones that the window lets pass, and the oldest one again if its time has come.
func (s *stream) due(now time.Time) []segment {
	var out []segment
	for len(s.waiting) > 0 && len(s.unacked) < maxInFlight {
		if len(s.unacked) == 0 {
			s.repeat, s.repeatAt, s.repeats = firstRepeat, now.Add(firstRepeat), 0
		}
		s.unacked = append(s.unacked, s.waiting[0])
		out = append(out, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	if len(s.unacked) > 0 && !now.Before(s.repeatAt) {
		s.repeat = min(2*s.repeat, longestRepeat)
		s.repeatAt = now.Add(s.repeat)
		s.repeats++
		out = append(out, s.unacked[0])
	}
	return s.stamp(out)
}

// stamp fills in what each packet carries at the time it is sent.
func (s *stream) stamp(out []segment) []segment {
	for i := range out {
		out[i].Ack, out[i].Tag = s.receive, s.echo
		out[i].Key = s.key
		if s.isHost {
			out[i].Key = s.key.Reversed()
		}
	}
	if len(out) > 0 {
		s.unsaid = 0
	}
	return out
}

// take takes in a packet and returns the acknowledgement that it calls for, if any.
func (s *stream) take(now time.Time, p *segment) []segment {
	s.echo = p.Tag
	if before := len(s.unacked); before > 0 {
		s.unacked = slices.DeleteFunc(s.unacked, func(u segment) bool { return int32(p.Ack-u.Seq-uint32(len(u.data))) >= 0 })
		if len(s.unacked) < before {
			s.repeat, s.repeatAt, s.repeats = firstRepeat, now.Add(firstRepeat), 0
		}
	}
	if len(p.data) == 0 {
		return nil
	}
	isInOrder := p.Seq == s.receive
	if int32(p.Seq-s.receive) >= 0 {
		s.early[p.Seq] = p.data
	}
	for data, ok := s.early[s.receive]; ok; data, ok = s.early[s.receive] {
		delete(s.early, s.receive)
		s.got = append(s.got, data...)
		s.receive += uint32(len(data))
	}
	s.unsaid++
	if isInOrder && s.unsaid < packetsPerAck {
		return nil
	}
	return s.stamp([]segment{{Packet: inband.Packet{Flags: inband.Acknowledging, Seq: s.sendNext}}})
}
