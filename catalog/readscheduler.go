package catalog

import (
	"math/rand/v2"

	"github.com/almondflow/almondflow/clock"
)

// Schedule of reads. The lower a VM's rank, the earlier it reads; the others then receive its
// view and need not read.
const (
	// readInterval is the view age at which the VM of rank 0 reads. A leaving target must get
	// no new flow after 3 s, which leaves room for one failed read.
	readInterval = 900 * clock.Millisecond
	// primaryDelay is the extra wait per rank up to lastPrimaryRank.
	primaryDelay    = 400 * clock.Millisecond
	lastPrimaryRank = 2
	// backupDelay is the extra wait per rank from there up to lastBackupRank. It is short, so
	// that a leaving target gets no new flow after 3 s even if the store rejects the calls of
	// the primary readers.
	backupDelay    = 70 * clock.Millisecond
	lastBackupRank = 10
	// otherDelay is the extra wait per rank after lastBackupRank. If none of the VMs before
	// obtained a view, the store itself is failing. A VM that is merely partitioned from its
	// siblings soon has a low rank and does not wait this long.
	otherDelay = 100 * clock.Millisecond
	// readJitter spreads the reads of VMs with the same rank.
	readJitter = 200 * clock.Millisecond
	// immediatePages is how many pages of a full read are requested without delay.
	immediatePages = 4
	// meanPageDelay is the mean wait before each further page on VMs that are not seeds.
	meanPageDelay = 600 * clock.Millisecond
	// siblingViewWait is how long a full read waits for a view that a sibling is sending.
	siblingViewWait = 400 * clock.Millisecond
	// firstStartWait is how long the VMs of a deployment that starts for the first time wait for a
	// sibling's view, and firstStartSpread spreads the reads of those that got none. No flow is
	// open then, so nothing waits for their view.
	firstStartWait   = 2 * clock.Second
	firstStartSpread = 2 * clock.Second
	// minBackoff and maxBackoff bound the exponential backoff after failed reads.
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 1600 * clock.Millisecond
)

// ReadScheduler schedules the reads of the store by one entry VM. A VM that receives a newer view
// from a sibling does not read, so the load on the store does not grow with the number of VMs. It
// is not safe for concurrent use.
type ReadScheduler struct {
	random              *rand.Rand
	rank                int
	vms                 int
	backoff             clock.Millis
	notBefore           clock.Millis // earliest time of the next read
	siblingViewDeadline clock.Millis // until then, a full read waits for a sibling's view
	jitter              clock.Millis
	needsFullRead       bool
	wasPaused           bool
}

// NewReadScheduler returns a scheduler whose first read is a full one and due at once.
func NewReadScheduler(random *rand.Rand) *ReadScheduler {
	return &ReadScheduler{random: random, vms: 1, needsFullRead: true}
}

// SetRank sets how many other VMs read before this one, and how many VMs there are.
func (r *ReadScheduler) SetRank(rank, vms int) { r.rank, r.vms = rank, max(1, vms) }

// Rank returns how many other VMs read before this one.
func (r *ReadScheduler) Rank() int { return r.rank }

// rankDelay returns how much longer this VM waits than the one of rank 0. A VM that knows no other one
// gets no view from it, so it waits no longer than the backup readers, whatever rank it assumes.
func (r *ReadScheduler) rankDelay() clock.Millis {
	rank := r.rank
	if r.vms == 1 {
		rank = min(rank, lastBackupRank)
	}
	primary := min(rank, lastPrimaryRank)
	backup := min(rank, lastBackupRank) - primary
	other := rank - primary - backup
	return clock.Millis(primary)*primaryDelay + clock.Millis(backup)*backupDelay + clock.Millis(other)*otherDelay
}

// NeedsFullRead reports whether the next read has to be a full one.
func (r *ReadScheduler) NeedsFullRead() bool { return r.needsFullRead }

// NextRead returns when the next read is due if the catalog was last confirmed at confirmedAt.
func (r *ReadScheduler) NextRead(confirmedAt clock.Millis) clock.Millis {
	if r.needsFullRead || r.wasPaused {
		return max(r.notBefore, r.siblingViewDeadline)
	}
	return max(r.notBefore, confirmedAt+readInterval+r.rankDelay()+r.jitter)
}

// DelayFirstRead delays the first read of a VM that is not a seed, because the whole deployment
// starts for the first time and the seeds will send their view.
func (r *ReadScheduler) DelayFirstRead(now clock.Millis) {
	r.notBefore = now + firstStartWait + clock.Millis(r.random.Int64N(int64(firstStartSpread)))
}

// RecordSuccess records a successful read and ends the backoff.
func (r *ReadScheduler) RecordSuccess() {
	r.needsFullRead, r.wasPaused = false, false
	r.backoff, r.notBefore = 0, 0
	r.drawJitter()
}

// RecordSiblingView records that a complete view from a sibling made a full read unnecessary.
func (r *ReadScheduler) RecordSiblingView() {
	r.needsFullRead = false
	r.notBefore = 0
	r.drawJitter()
}

// AwaitSiblingView delays the rest of a full read, because a sibling is sending its view.
func (r *ReadScheduler) AwaitSiblingView(now clock.Millis) {
	r.siblingViewDeadline = now + siblingViewWait
}

// EndSiblingViewWait ends the wait for a sibling's view, for example because it did not arrive.
func (r *ReadScheduler) EndSiblingViewWait() { r.siblingViewDeadline = 0 }

// RecordFailure records a failed read and delays the next one by an exponential backoff with
// jitter, so that VMs do not retry at the same moment. VMs that have a view and are not primary
// readers wait longer the more VMs there are.
func (r *ReadScheduler) RecordFailure(now clock.Millis) {
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	if r.rank > lastPrimaryRank && !r.needsFullRead {
		r.backoff = max(r.backoff, clock.Millis(r.vms)*otherDelay)
	}
	r.notBefore = now + r.backoff/2 + clock.Millis(r.random.Int64N(int64(r.backoff)))
}

// RequireFullRead makes the next read a full one, because the store no longer keeps the changes
// since the last read.
func (r *ReadScheduler) RequireFullRead() { r.needsFullRead = true }

func (r *ReadScheduler) drawJitter() {
	r.jitter = 0
	if r.rank > 0 {
		r.jitter = clock.Millis(r.random.Int64N(int64(readJitter)))
	}
}

// SchedulePage schedules the next page of a full read after the given number of pages. The first
// pages follow at once, and all of them if mayHurry is set. In large deployments the seeds read
// the other pages and send their view to the rest: a VM that is not a seed continues slowly, and
// hurries only if no view arrived for a long time.
func (r *ReadScheduler) SchedulePage(now clock.Millis, pages int, mayHurry bool) {
	r.backoff, r.notBefore = 0, 0
	if pages >= immediatePages && !mayHurry {
		r.notBefore = now + meanPageDelay/2 + clock.Millis(r.random.Int64N(int64(meanPageDelay)))
	}
}

// RecordPause records that the machine was paused. The monotonic clock stopped meanwhile, so the
// view is older than its age says and the next read is due at once.
func (r *ReadScheduler) RecordPause() { r.wasPaused = true }
