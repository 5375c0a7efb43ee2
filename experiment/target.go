package experiment

import (
	"math"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Sizes of answers in bytes.
const (
	answerLength = 1000
	errorLength  = 150
)

// badShare is the part of requests that targets in trouble fail.
const badShare = 0.5

// queueLength is how many requests wait at a target before it sheds.
const queueLength = 8

// hosted is a flow as a target holds it.
type hosted struct {
	client  *client
	key     inband.Key
	nextSeq uint32
	running bool
	ack     uint32 // bytes that the target has sent
	isError bool   // the newest answer is an error
}

// reply is a target's packet as its client reads it.
type reply struct {
	tag       inband.Tag
	ack       uint32 // bytes that the target has sent
	next      uint32 // byte of the client that it expects
	isOpening bool
	isLast    bool // the target leaves and ends the flow
	isError   bool // the target failed
}

// target is a modeled host.
type target struct {
	world       *world
	domain      int
	published   inband.Target // as it is
	listed      inband.Target // as the store shows it
	isUp        bool
	isDown      bool
	speed       float64 // how many times longer it works
	trouble     FaultKind
	busy        int
	queue       []*hosted
	flows       map[inband.Key]*hosted
	arrivals    int
	disturbedAt clock.Millis
}

// take receives a client's packet.
func (t *target) take(c *client, p inband.Packet) {
	t.isUp = !t.isDown
	if t.isDown {
		return
	}
	f := t.flows[p.Key]
	switch {
	case p.IsOpening():
		if f == nil {
			f = &hosted{client: c, key: p.Key, nextSeq: p.Seq + 1, ack: 1000 * uint32(t.published.Identity)}
			t.flows[p.Key] = f
		}
		t.answer(f, p.Tag, true)
	case f == nil && p.Flags.Has(inband.Resetting):
	case f == nil:
		t.world.after(clientDelay, func() { c.reset(p.Key) })
	case p.Flags.Has(inband.Ending), p.Flags.Has(inband.Resetting):
		delete(t.flows, p.Key)
	case p.DataLength > 0 && p.Seq == f.nextSeq && !f.running:
		f.nextSeq += uint32(p.DataLength)
		f.running = true
		t.arrivals++
		t.enqueue(f, p.Tag)
	case p.DataLength > 0 && !f.running:
		t.answer(f, p.Tag, false) // the response was lost
	}
}

func (t *target) enqueue(f *hosted, tag inband.Tag) {
	if t.busy >= t.published.Slots {
		if len(t.queue) < queueLength {
			t.queue = append(t.queue, f)
			return
		}
		f.running = false
		t.world.report.Shed++
		t.world.after(clientDelay, func() { f.client.shed(f.key) })
		return
	}
	t.work(f, tag)
}

func (t *target) work(f *hosted, tag inband.Tag) {
	t.busy++
	mean := float64(t.world.size.Work) * t.speed
	took := mean * math.Exp(0.5*t.world.random.NormFloat64()-0.125)
	t.world.after(clock.Millis(took)+1, func() {
		t.busy--
		f.running = false
		t.complete(f, tag)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.work(next, tag)
		}
	})
}

// complete answers a request that was worked on.
func (t *target) complete(f *hosted, tag inband.Tag) {
	isBad := t.trouble != "" && t.world.random.Float64() < badShare
	if isBad && t.trouble == MuteTargets {
		f.running = true // the request is never answered, and takes no slot
		return
	}
	f.isError = isBad
	f.ack += answerLength
	if isBad {
		f.ack -= answerLength - errorLength
	}
	if !t.isDown {
		t.answer(f, tag, false)
	}
}

// answer sends the client what the target last said on a flow.
func (t *target) answer(f *hosted, tag inband.Tag, isOpening bool) {
	w := t.world
	if w.lossy > 0 && w.random.Float64() < w.lossy {
		return
	}
	said := reply{tag: tag, ack: f.ack, next: f.nextSeq, isOpening: isOpening, isLast: !isOpening && t.listed.State == inband.Leaving, isError: f.isError}
	w.after(clientDelay, func() { f.client.hear(f.key, said) })
}

// isTroubled tells whether the target is late or fails requests.
func (t *target) isTroubled() bool { return t.speed != 1 || t.trouble != "" }

// goDark silences the target. With forGood it loses its flows and its entry ends later.
func (t *target) goDark(forGood bool) {
	t.isDown, t.disturbedAt = true, t.world.now
	if forGood {
		t.flows = map[inband.Key]*hosted{}
		t.queue = nil
	}
}

func (t *target) comeBack() {
	t.isDown, t.isUp, t.disturbedAt = false, true, t.world.now
}

// unlist ends the target's entry in the store.
func (t *target) unlist() {
	t.listed.State = inband.Gone
	t.world.publish()
}
