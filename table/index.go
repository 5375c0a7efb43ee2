package table

import "maps"

// indexShards is the number of maps that an index consists of. A change copies only
// the maps that it touches.
const indexShards = 256

// index is a map whose versions share what is equal. The zero value is not usable.
type index[K comparable, V any] struct {
	shardOf func(K) uint8
	shards  *[indexShards]map[K]V
}

func newIndex[K comparable, V any](shardOf func(K) uint8) index[K, V] {
	return index[K, V]{shardOf: shardOf, shards: new([indexShards]map[K]V)}
}

func (x *index[K, V]) get(key K) (V, bool) {
	value, ok := x.shards[x.shardOf(key)][key]
	return value, ok
}

// edit returns a copy that can be changed without changing x.
func (x *index[K, V]) edit() *indexEdit[K, V] {
	shards := *x.shards
	return &indexEdit[K, V]{index: index[K, V]{shardOf: x.shardOf, shards: &shards}}
}

// indexEdit is an index under construction.
type indexEdit[K comparable, V any] struct {
	index[K, V]

	isOwned [indexShards]bool
}

func (x *indexEdit[K, V]) own(key K) map[K]V {
	at := x.shardOf(key)
	if !x.isOwned[at] {
		x.isOwned[at] = true
		x.shards[at] = maps.Clone(x.shards[at])
		if x.shards[at] == nil {
			x.shards[at] = make(map[K]V)
		}
	}
	return x.shards[at]
}

func (x *indexEdit[K, V]) put(key K, value V) { x.own(key)[key] = value }

func (x *indexEdit[K, V]) delete(key K) { delete(x.own(key), key) }
