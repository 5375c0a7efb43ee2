package table

import "maps"

// indexShards is the number of maps in an index. A change copies only the shards that
// it modifies.
const indexShards = 256

// index is an immutable map that shares unchanged shards with its previous versions. The
// zero value is not usable.
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

// newBuilder returns a copy that can be modified without changing x.
func (x *index[K, V]) newBuilder() *indexBuilder[K, V] {
	shards := *x.shards
	return &indexBuilder[K, V]{index: index[K, V]{shardOf: x.shardOf, shards: &shards}}
}

// indexBuilder is a modifiable copy of an index. It copies a shard on the first write.
type indexBuilder[K comparable, V any] struct {
	index[K, V]

	isCopied [indexShards]bool
}

// writableShard returns the shard of key, copied if it is still shared.
func (x *indexBuilder[K, V]) writableShard(key K) map[K]V {
	shard := x.shardOf(key)
	if !x.isCopied[shard] {
		x.isCopied[shard] = true
		x.shards[shard] = maps.Clone(x.shards[shard])
		if x.shards[shard] == nil {
			x.shards[shard] = make(map[K]V)
		}
	}
	return x.shards[shard]
}

func (x *indexBuilder[K, V]) set(key K, value V) { x.writableShard(key)[key] = value }

func (x *indexBuilder[K, V]) delete(key K) { delete(x.writableShard(key), key) }
