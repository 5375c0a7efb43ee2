package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HolderCount is the number of entry VMs that hold a flow, unless the fleet has fewer.
const HolderCount = 3

// defaultBuckets is the number of hash buckets for which the ranks of a failure domain are
// precomputed. It is a power of two and much larger than the number of VMs of a domain, so
// that the VMs get equal shares of the flows.
const defaultBuckets = 1 << 16

// Spread is the way in which the holders of a flow are spread over failure domains.
type Spread uint8

const (
	// TwoInHomeDomain selects two holders from the home domain and one from the next domain.
	TwoInHomeDomain Spread = iota
	// DistinctDomains selects holders from different domains, so that a majority of them
	// remains when any one domain fails or is partitioned.
	DistinctDomains
)

// Holders holds the IDs of the entry VMs that hold a flow, highest rank first.
type Holders struct {
	ids   [HolderCount]ID
	count int
}

// Len returns the number of holders.
func (h *Holders) Len() int { return h.count }

// At returns the holder of rank i, which counts from 0.
func (h *Holders) At(i int) ID { return h.ids[i] }

// Rank returns the rank of a VM, or -1 if it is not a holder.
func (h *Holders) Rank(id ID) int {
	for i := range h.count {
		if h.ids[i] == id {
			return i
		}
	}
	return -1
}

// Majority returns the number of holders that form a majority.
func (h *Holders) Majority() int { return h.count/2 + 1 }

// add adds a VM unless it is already a holder or there are HolderCount holders.
func (h *Holders) add(id ID) {
	if h.count < HolderCount && h.Rank(id) < 0 {
		h.ids[h.count] = id
		h.count++
	}
}

// topVMs holds the highest ranked VMs of a bucket, as indexes into domainRanking.vms.
// Unused places hold noVM.
type topVMs [HolderCount]uint16

// noVM is the index that stands for no VM.
const noVM = ^uint16(0)

// domainRanking holds the precomputed ranks of the serving VMs of a failure domain.
type domainRanking struct {
	id      ID
	name    string
	vms     []ID
	buckets []topVMs
}

// Ranking selects the VMs that hold a flow, by rendezvous hashing of the serving VMs of one
// list. The ranks are precomputed for each bucket of flow hashes, so that the cost for a
// packet is one hash for each failure domain, whatever the size of the fleet. It is
// immutable and depends only on the list and the number of buckets, so that all daemons
// with the same list select the same holders.
type Ranking struct {
	list    *List
	domains []domainRanking
	mask    uint64
}

// RankingOption is an option of NewRanking.
type RankingOption func(*rankingOptions)

type rankingOptions struct {
	buckets  int
	previous *Ranking
}

// WithBuckets sets the number of buckets of each failure domain, which must be a power of
// two and the same at all daemons of a fleet.
func WithBuckets(buckets int) RankingOption {
	return func(o *rankingOptions) { o.buckets = buckets }
}

// WithPrevious derives the ranking from that of an earlier list with the same number of
// buckets. Only buckets in which a removed VM was one of the highest ranked are computed
// anew; added VMs are inserted into the others. The result is the same as without this
// option. A previous ranking with another number of buckets is ignored.
func WithPrevious(previous *Ranking) RankingOption {
	return func(o *rankingOptions) { o.previous = previous }
}

// NewRanking returns the ranking of the serving VMs of a list.
func NewRanking(list *List, options ...RankingOption) *Ranking {
	o := rankingOptions{buckets: defaultBuckets}
	for _, option := range options {
		option(&o)
	}
	r := &Ranking{list: list, mask: uint64(o.buckets - 1)}
	for _, name := range list.Domains() {
		r.domains = append(r.domains, rankDomain(list, name, o))
	}
	return r
}

// List returns the list that was ranked. After WithoutVMs, it has only the version and no VMs.
func (r *Ranking) List() *List { return r.list }

// WithoutVMs returns a copy of the ranking to keep after a newer list has replaced its list.
// The copy has the ranks and the version, but not the VMs of the list, which take most of
// the memory of a large list.
func (r *Ranking) WithoutVMs() *Ranking {
	return &Ranking{list: &List{version: r.list.version}, domains: r.domains, mask: r.mask}
}

// Holders returns the holders of the flow with the given hash.
func (r *Ranking) Holders(hash uint64, spread Spread) Holders {
	var order [HolderCount]*domainRanking
	n := r.rankDomains(hash, &order)
	var h Holders
	if spread == TwoInHomeDomain && n > 0 {
		r.addTop(&h, order[0], hash, 2)
	}
	for i := range n {
		r.addTop(&h, order[i], hash, 1)
	}
	for i := 0; i < n && h.count < HolderCount; i++ {
		r.addTop(&h, order[i], hash, HolderCount)
	}
	return h
}

// HomeDomain returns the name of the highest ranked failure domain for the flow with the
// given hash, or "" if no VM is serving.
func (r *Ranking) HomeDomain(hash uint64) string {
	var order [HolderCount]*domainRanking
	if r.rankDomains(hash, &order) == 0 {
		return ""
	}
	return order[0].name
}

// addTop adds the highest ranked VMs of a domain to the holders, at most limit of them.
func (r *Ranking) addTop(h *Holders, d *domainRanking, hash uint64, limit int) {
	bucket := &d.buckets[bucketOf(hash)&r.mask]
	for _, i := range bucket[:limit] {
		if i != noVM {
			h.add(d.vms[i])
		}
	}
}

// rankDomains stores the domains with the highest rendezvous scores in order, highest
// first, and returns their number.
func (r *Ranking) rankDomains(hash uint64, order *[HolderCount]*domainRanking) int {
	var scores [HolderCount]uint64
	n := 0
	for i := range r.domains {
		d := &r.domains[i]
		score := RendezvousScore(hash, d.id)
		at := n
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at == HolderCount {
			continue
		}
		n = min(n+1, HolderCount)
		copy(scores[at+1:], scores[at:HolderCount-1])
		copy(order[at+1:], order[at:HolderCount-1])
		scores[at], order[at] = score, d
	}
	return n
}

// RendezvousScore returns the rendezvous score of an entry VM or failure domain for a hash.
func RendezvousScore(hash uint64, id ID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], hash)
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	return xxhash.Sum64(b[:])
}

// bucketOf returns the bits of the hash that select a bucket. They differ from the bits that
// select the shard of the flow.
func bucketOf(hash uint64) uint64 { return hash >> 16 }

// rankDomain returns the ranking of a domain, derived from the previous one if possible.
func rankDomain(list *List, name string, o rankingOptions) domainRanking {
	d := domainRanking{id: NewID(name), name: name}
	for i := range list.vms {
		if v := &list.vms[i]; v.domain == name && v.state == Serving {
			d.vms = append(d.vms, v.id)
		}
	}
	previous := o.previous.find(name, o.buckets)
	if previous == nil {
		d.buckets = make([]topVMs, o.buckets)
		for b := range d.buckets {
			d.buckets[b] = d.rankBucket(uint64(b))
		}
		return d
	}
	if slices.Equal(d.vms, previous.vms) {
		d.buckets = previous.buckets // shared, because rankings are immutable
		return d
	}
	d.buckets = make([]topVMs, o.buckets)
	d.updateFrom(previous)
	return d
}

// find returns the ranking of a domain, or nil if r is nil or has another number of buckets.
func (r *Ranking) find(name string, buckets int) *domainRanking {
	if r == nil || int(r.mask)+1 != buckets {
		return nil
	}
	for i := range r.domains {
		if r.domains[i].name == name {
			return &r.domains[i]
		}
	}
	return nil
}

// rankBucket computes the highest ranked VMs of a bucket from all VMs.
func (d *domainRanking) rankBucket(bucket uint64) topVMs {
	t := newTopVMs()
	var scores [HolderCount]uint64
	for i := range d.vms {
		d.insert(&t, &scores, uint16(i), RendezvousScore(bucket, d.vms[i])) //nolint:gosec // a domain has far fewer than 65,535 VMs
	}
	return t
}

// insert inserts a VM with the given score into t, whose scores are in scores.
func (d *domainRanking) insert(t *topVMs, scores *[HolderCount]uint64, vm uint16, score uint64) {
	for at := range t {
		if t[at] == noVM || score > scores[at] {
			copy(t[at+1:], t[at:HolderCount-1])
			copy(scores[at+1:], scores[at:HolderCount-1])
			t[at], scores[at] = vm, score
			return
		}
	}
}

func newTopVMs() topVMs {
	return topVMs{noVM, noVM, noVM}
}

// updateFrom derives the buckets from the previous ranking of the same domain.
func (d *domainRanking) updateFrom(previous *domainRanking) {
	newIndex, added := d.diff(previous)
	for b := range d.buckets {
		t, ok := remap(previous.buckets[b], newIndex)
		if !ok {
			d.buckets[b] = d.rankBucket(uint64(b))
			continue
		}
		d.buckets[b] = d.insertAdded(uint64(b), t, added)
	}
}

// diff returns the new index of each previous VM, or noVM if it was removed, and the indexes
// of the added VMs.
func (d *domainRanking) diff(previous *domainRanking) (newIndex, added []uint16) {
	position := make(map[ID]uint16, len(d.vms))
	for i, id := range d.vms {
		position[id] = uint16(i) //nolint:gosec // a domain has far fewer than 65,535 VMs
	}
	newIndex = make([]uint16, len(previous.vms))
	for i, id := range previous.vms {
		at, ok := position[id]
		if !ok {
			at = noVM
		}
		newIndex[i] = at
		delete(position, id)
	}
	for i, id := range d.vms {
		if _, isNew := position[id]; isNew {
			added = append(added, uint16(i)) //nolint:gosec // a domain has far fewer than 65,535 VMs
		}
	}
	return newIndex, added
}

// remap replaces the previous indexes in t by the new ones. It reports false if one of the
// VMs was removed.
func remap(t topVMs, newIndex []uint16) (topVMs, bool) {
	for i, vm := range t {
		if vm == noVM {
			continue
		}
		t[i] = newIndex[vm]
		if t[i] == noVM {
			return t, false
		}
	}
	return t, true
}

// insertAdded inserts the added VMs into the highest ranked VMs of a bucket.
func (d *domainRanking) insertAdded(bucket uint64, t topVMs, added []uint16) topVMs {
	if len(added) == 0 {
		return t
	}
	var scores [HolderCount]uint64
	for i, vm := range t {
		if vm != noVM {
			scores[i] = RendezvousScore(bucket, d.vms[vm])
		}
	}
	for _, vm := range added {
		d.insert(&t, &scores, vm, RendezvousScore(bucket, d.vms[vm]))
	}
	return t
}
