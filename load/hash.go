package load

import "hash/fnv"

// Hash returns the number that stands for the pool in reports. Two pools that share one, of which there are
// few among a hundred thousand, are told as one.
func (p DomainPoolID) Hash() uint32 { return hashNames(p.Service, p.Domain) }

// HashDomain returns the number that stands for a failure domain in reports.
func HashDomain(name string) uint32 { return hashNames(name) }

func hashNames(names ...string) uint32 {
	h := fnv.New32a()
	for _, name := range names {
		_, _ = h.Write([]byte(name)) // hash writes never fail
		_, _ = h.Write([]byte{0})
	}
	return h.Sum32()
}
