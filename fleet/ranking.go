package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HolderCount is the number of entry VMs that hold a flow where the fleet is large enough.
const HolderCount = 3

// defaultBuckets is the number of ranks precomputed for each failure domain. It is a
// power of two, far above the number of VMs of a domain, so that VMs get even shares.
const defaultBuckets = 1 << 16

// Spread says over how many failure domains the holders of a flow are chosen.
type Spread uint8

const (
	// HomePair puts two holders into the home domain and one into the next.
	HomePair Spread = iota
	// EachDomain puts each holder into another domain, so that the loss or partition
	// of any one domain leaves a majority of the holders.
	EachDomain
)

// Holders are the entry VMs that hold a flow, highest rank first.
type Holders struct {
	ids   [HolderCount]ID
	count int
}

// Len returns the number of holders.
func (h *Holders) Len() int { return h.count }

// At returns the holder of rank i, counted from 0.
func (h *Holders) At(i int) ID { return h.ids[i] }

// Rank returns the rank of a VM, or -1 when it holds nothing.
func (h *Holders) Rank(id ID) int {
	for i := range h.count {
		if h.ids[i] == id {
			return i
		}
	}
	return -1
}

// Majority returns the number of holders that decide.
func (h *Holders) Majority() int { return h.count/2 + 1 }

func (h *Holders) add(id ID) {
	if h.count < HolderCount && h.Rank(id) < 0 {
		h.ids[h.count] = id
		h.count++
	}
}

// top holds the best-ranked VMs of a bucket as indexes into the domain's VMs.
type top [HolderCount]uint16

const noVM = ^uint16(0)

type domainRanking struct {
	id      ID
	name    string
	vms     []ID
	buckets []top
}

// Ranking answers which VMs hold a flow under one list. Ranks are precomputed by bucket
// of the flow's hash, so that a packet costs a hash a domain however large the fleet is.
// It is immutable and depends on nothing but the list, so that every daemon with the
// same list names the same holders.
type Ranking struct {
	list    *List
	domains []domainRanking
	mask    uint64
}

// RankingOption changes how a Ranking is computed.
type RankingOption func(*rankingOptions)

type rankingOptions struct {
	buckets  int
	previous *Ranking
}

// WithBuckets sets the buckets of a domain, a power of two. All daemons of a fleet
// must use the same number.
func WithBuckets(buckets int) RankingOption {
	return func(o *rankingOptions) { o.buckets = buckets }
}

// WithPrevious reuses the ranking of an earlier list with the same number of buckets:
// only buckets that a joining or gone VM leads are ranked again.
func WithPrevious(previous *Ranking) RankingOption {
	return func(o *rankingOptions) { o.previous = previous }
}

// NewRanking precomputes the ranks of the serving VMs of a list.
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

// List returns the list that was ranked. Of a ranking that Earlier returned, it has the
// version and no VMs.
func (r *Ranking) List() *List { return r.list }

// Earlier returns the ranking for use after a newer list came. It keeps the ranks and the
// version and lets go of the VMs, which take most of the memory of a large list.
func (r *Ranking) Earlier() *Ranking {
	return &Ranking{list: &List{version: r.list.version}, domains: r.domains, mask: r.mask}
}

// Holders returns the holders of a flow's hash.
func (r *Ranking) Holders(hash uint64, spread Spread) Holders {
	var order [HolderCount]*domainRanking
	n := r.rankDomains(hash, &order)
	var h Holders
	if spread == HomePair && n > 0 {
		r.addFrom(&h, order[0], hash, 2)
	}
	for i := range n {
		r.addFrom(&h, order[i], hash, 1)
	}
	for i := 0; i < n && h.count < HolderCount; i++ {
		r.addFrom(&h, order[i], hash, HolderCount)
	}
	return h
}

// HomeDomain returns the domain that ranks first for a flow's hash.
func (r *Ranking) HomeDomain(hash uint64) string {
	var order [HolderCount]*domainRanking
	if r.rankDomains(hash, &order) == 0 {
		return ""
	}
	return order[0].name
}

func (r *Ranking) addFrom(h *Holders, d *domainRanking, hash uint64, most int) {
	bucket := &d.buckets[bucketOf(hash)&r.mask]
	for _, i := range bucket[:most] {
		if i != noVM {
			h.add(d.vms[i])
		}
	}
}

// rankDomains sorts the best domains by rendezvous score and returns how many there are.
func (r *Ranking) rankDomains(hash uint64, order *[HolderCount]*domainRanking) int {
	var scores [HolderCount]uint64
	n := 0
	for i := range r.domains {
		d := &r.domains[i]
		score := Score(hash, d.id)
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

// Score is the rendezvous score of a hash for an identity.
func Score(hash uint64, id ID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], hash)
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	return xxhash.Sum64(b[:])
}

// bucketOf takes bits of the hash that the choice of a shard does not use.
func bucketOf(hash uint64) uint64 { return hash >> 16 }

func rankDomain(list *List, name string, o rankingOptions) domainRanking {
	d := domainRanking{id: NewID(name), name: name}
	for i := range list.vms {
		if v := &list.vms[i]; v.domain == name && v.state == Serving {
			d.vms = append(d.vms, v.id)
		}
	}
	old := o.previous.find(name, o.buckets)
	if old == nil {
		d.buckets = make([]top, o.buckets)
		for b := range d.buckets {
			d.buckets[b] = d.rankAll(uint64(b))
		}
		return d
	}
	if slices.Equal(d.vms, old.vms) {
		d.buckets = old.buckets // shared, as nothing changes them any more
		return d
	}
	d.buckets = make([]top, o.buckets)
	d.rankFrom(old)
	return d
}

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

func (d *domainRanking) rankAll(bucket uint64) top {
	t := emptyTop()
	var scores [HolderCount]uint64
	for i := range d.vms {
		d.insert(&t, &scores, uint16(i), Score(bucket, d.vms[i])) //nolint:gosec // a domain has far fewer than 65,535 VMs
	}
	return t
}

func (d *domainRanking) insert(t *top, scores *[HolderCount]uint64, vm uint16, score uint64) {
	for at := range t {
		if t[at] == noVM || score > scores[at] {
			copy(t[at+1:], t[at:HolderCount-1])
			copy(scores[at+1:], scores[at:HolderCount-1])
			t[at], scores[at] = vm, score
			return
		}
	}
}

func emptyTop() top {
	return top{noVM, noVM, noVM}
}

// rankFrom derives the buckets from an older ranking of the same domain.
func (d *domainRanking) rankFrom(old *domainRanking) {
	moved, joined := d.compare(old)
	for b := range d.buckets {
		t, whole := translate(old.buckets[b], moved)
		if !whole {
			d.buckets[b] = d.rankAll(uint64(b))
			continue
		}
		d.buckets[b] = d.merge(uint64(b), t, joined)
	}
}

// compare maps old indexes to new ones and lists the VMs that joined.
func (d *domainRanking) compare(old *domainRanking) (moved, joined []uint16) {
	position := make(map[ID]uint16, len(d.vms))
	for i, id := range d.vms {
		position[id] = uint16(i) //nolint:gosec // a domain has far fewer than 65,535 VMs
	}
	moved = make([]uint16, len(old.vms))
	for i, id := range old.vms {
		at, ok := position[id]
		if !ok {
			at = noVM
		}
		moved[i] = at
		delete(position, id)
	}
	for i, id := range d.vms {
		if _, isNew := position[id]; isNew {
			joined = append(joined, uint16(i)) //nolint:gosec // a domain has far fewer than 65,535 VMs
		}
	}
	return moved, joined
}

// translate renames the VMs of a bucket. It reports false when one of them is gone.
func translate(t top, moved []uint16) (top, bool) {
	for i, vm := range t {
		if vm == noVM {
			continue
		}
		t[i] = moved[vm]
		if t[i] == noVM {
			return t, false
		}
	}
	return t, true
}

func (d *domainRanking) merge(bucket uint64, t top, joined []uint16) top {
	if len(joined) == 0 {
		return t
	}
	var scores [HolderCount]uint64
	for i, vm := range t {
		if vm != noVM {
			scores[i] = Score(bucket, d.vms[vm])
		}
	}
	for _, vm := range joined {
		d.insert(&t, &scores, vm, Score(bucket, d.vms[vm]))
	}
	return t
}
