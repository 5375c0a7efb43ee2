package inband

import (
	"hash/fnv"
	"net/netip"
	"slices"
)

// maxSignClients is how many clients are kept for each target and kind of packet. It is the largest
// number that any rule about domains asks for.
const maxSignClients = minPartitionTargetsSingleVM

// ClientID identifies the client of an unanswered packet by a short hash of its address. Clients that
// share an id count as one, so there may only be too few signs.
type ClientID uint16

// clientIDOf returns the id of the client at an address.
func clientIDOf(client netip.Addr) ClientID {
	h := fnv.New32a()
	address := client.As16()
	_, _ = h.Write(address[:]) // hash writes never fail
	sum := h.Sum32()
	return ClientID(sum ^ sum>>16)
}

// clientSet counts independent signs by the clients that gave them: one cause on a client's side explains
// all that it shows.
type clientSet struct {
	ids   [maxSignClients]ClientID
	count uint8
}

// add adds a client, unless it is in the set or the set is full.
func (s *clientSet) add(id ClientID) {
	if !slices.Contains(s.clients(), id) && s.count < maxSignClients {
		s.ids[s.count] = id
		s.count++
	}
}

// merge adds the clients of another set.
func (s *clientSet) merge(other *clientSet) {
	for _, id := range other.clients() {
		s.add(id)
	}
}

// clients returns the clients in the set. The result is valid until the next change.
func (s *clientSet) clients() []ClientID { return s.ids[:s.count] }

// size returns the number of clients.
func (s *clientSet) size() int { return int(s.count) }
