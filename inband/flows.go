package inband

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// phase is the stage that a flow has reached.
type phase uint8

const (
	opening phase = iota // only the opening was seen
	open                 // the client has received an answer to its opening
	ended                // the client has sent everything, or the flow was reset
)

// maxOtherTargets is the number of targets that may answer one opening besides the one that the flow stays with.
// Clients send two copies.
const maxOtherTargets = 2

// flow is the state that this entry VM keeps of one flow.
type flow struct {
	key           Key
	backend       *Backend
	phase         phase
	isBusy        bool // data was sent and no answer has been acknowledged since
	isMetered     bool // this request counts in the measured work of the target
	isTimedOut    bool // the newest packet was counted as timed out
	hasOutcome    bool // the outcome of the newest request was recorded
	isReset       bool // this VM had it reset; it is kept for an answer that crosses the reset
	hasRequested  bool // the first request was forwarded, or may have been by another VM
	retransmits   int  // retransmissions of the newest packet
	openedAt      clock.Millis
	seenAt        clock.Millis
	sentAt        clock.Millis // when the newest data, or the opening, was first forwarded
	responseTime  clock.Millis // from the newest request until an answer was acknowledged
	forwardedFrom uint32       // start of the contiguous data before nextSeq that this VM forwarded
	nextSeq       uint32       // sequence number after the newest data that this VM forwarded, or of the opening
	ack           uint32       // client's newest acknowledgment number
	responseBytes uint32       // acknowledged bytes of the response to the newest request
	// tags of the targets that got other copies of the opening, newest first
	otherTags [maxOtherTargets]Tag
}

// isOpenedBy reports whether a packet is another copy of the flow's opening. It is false for a nil flow.
func (f *flow) isOpenedBy(p *Packet) bool {
	return f != nil && f.phase == opening && p.Seq == f.nextSeq
}

// addOtherTarget records that a target got another copy of the opening.
func (f *flow) addOtherTarget(tag Tag) {
	copy(f.otherTags[1:], f.otherTags[:])
	f.otherTags[0] = tag
}

// choose makes a target that answered the flow's, and the one before another that may answer.
func (f *flow) choose(b *Backend) {
	if i := slices.Index(f.otherTags[:], b.tag); i >= 0 {
		f.otherTags[i] = f.backend.tag
	} else {
		f.addOtherTarget(f.backend.tag)
	}
	f.backend = b
}

// startAt records that this VM has forwarded none of the client's data so far. The client's next
// byte has the given sequence number, as far as this VM knows.
func (f *flow) startAt(seq uint32) { f.forwardedFrom, f.nextSeq = seq, seq }

// hasForwarded reports whether this VM has forwarded all data of a packet before. If another VM may
// have forwarded it, its retransmission says nothing about the target: the data may have been lost
// on its way to or through that VM.
func (f *flow) hasForwarded(p *Packet) bool {
	end := p.Seq + uint32(p.DataLength)
	return int32(p.Seq-f.forwardedFrom) >= 0 && int32(end-f.nextSeq) <= 0
}

// recordForwarded adds the data of a packet to the data that this VM forwarded. Data that does not
// adjoin it replaces it, so that a gap is never taken for forwarded.
func (f *flow) recordForwarded(p *Packet) {
	end := p.Seq + uint32(p.DataLength)
	switch {
	case int32(p.Seq-f.forwardedFrom) >= 0 && int32(p.Seq-f.nextSeq) <= 0:
		f.nextSeq = end
	case int32(p.Seq-f.forwardedFrom) < 0 && int32(end-f.forwardedFrom) >= 0 && int32(end-f.nextSeq) <= 0:
		f.forwardedFrom = p.Seq
	default:
		f.forwardedFrom, f.nextSeq = p.Seq, end
	}
}

// flowTable stores flows in reusable slots, so that handling a packet does not allocate.
type flowTable struct {
	index      map[Key]int32
	slots      []flow
	free       []int32
	sweepIndex int
}

func newFlowTable(capacity int) *flowTable {
	return &flowTable{index: make(map[Key]int32, capacity)}
}

func (t *flowTable) find(key Key) *flow {
	i, ok := t.index[key]
	if !ok {
		return nil
	}
	return &t.slots[i]
}

// add returns a new flow. It invalidates pointers to other flows.
func (t *flowTable) add(key Key) *flow {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		t.index[key] = i
		t.slots[i] = flow{key: key}
		return &t.slots[i]
	}
	t.slots = append(t.slots, flow{key: key})
	t.index[key] = int32(len(t.slots) - 1)
	return &t.slots[len(t.slots)-1]
}

func (t *flowTable) remove(key Key) {
	i, ok := t.index[key]
	if !ok {
		return
	}
	delete(t.index, key)
	t.slots[i] = flow{}
	t.free = append(t.free, i)
}

func (t *flowTable) len() int { return len(t.index) }
