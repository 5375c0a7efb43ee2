package inband

import (
	"hash/fnv"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
)

const (
	// maxSignClients is how many clients are kept for each target and kind of packet. It is the
	// largest number that any rule about dead targets asks for.
	maxSignClients = minPartitionTargetsSingleVM
	// maxSuspectClients limits the clients whose answers are watched.
	maxSuspectClients = 1024
)

// ClientID identifies the client of an unanswered packet by a short hash of its address, which is
// the same at every VM. Clients that share an id count as one, so there may only be too few signs.
type ClientID uint16

// clientIDOf returns the id of the client at an address.
func clientIDOf(client netip.Addr) ClientID {
	h := fnv.New32a()
	address := client.As16()
	_, _ = h.Write(address[:]) // hash writes never fail
	sum := h.Sum32()
	return ClientID(sum ^ sum>>16)
}

// clientSet counts independent signs by the clients that gave them.
type clientSet struct {
	ids     [maxSignClients]ClientID
	count   uint8
	repeats uint8 // further signs of these clients that are independent of their earlier ones
}

// add adds the sign of a client. A further sign of the same client counts only if it is independent.
func (s *clientSet) add(id ClientID, isIndependent bool) {
	if !s.contains(id) && s.count < maxSignClients {
		s.ids[s.count] = id
		s.count++
		return
	}
	if isIndependent && s.repeats < maxSignClients {
		s.repeats++
	}
}

func (s *clientSet) contains(id ClientID) bool {
	for _, known := range s.clients() {
		if known == id {
			return true
		}
	}
	return false
}

// merge adds the signs of another set.
func (s *clientSet) merge(other *clientSet) {
	for _, id := range other.clients() {
		s.add(id, false)
	}
	s.repeats = min(s.repeats+other.repeats, maxSignClients)
}

// clients returns the clients in the set. The result is valid until the next change.
func (s *clientSet) clients() []ClientID { return s.ids[:s.count] }

// size returns the number of independent signs.
func (s *clientSet) size() int { return int(s.count + s.repeats) }

// suspectClient is a client that gave a sign. Its own link may be the cause.
type suspectClient struct {
	signSentAt     clock.Millis // when the packet of its latest sign was sent
	answeredSentAt clock.Millis // when the latest packet was sent whose answer it has acknowledged since
	expiresAt      clock.Millis
}

// suspectClients holds the clients that gave a sign recently.
type suspectClients map[ClientID]suspectClient

// recordSign records a client's sign by a packet sent at sentAt. It reports whether the sign is
// independent of the client's earlier ones: the client was answered between the two packets, so one
// failure of its link does not explain both.
func (s suspectClients) recordSign(now, sentAt clock.Millis, id ClientID) bool {
	known, ok := s[id]
	if !ok && len(s) >= maxSuspectClients {
		return false
	}
	isIndependent := ok && known.answeredSentAt > known.signSentAt && sentAt > known.answeredSentAt
	if !ok || isIndependent {
		known.signSentAt = sentAt
	}
	known.expiresAt = now + openingTimeoutLifetime
	s[id] = known
	return isIndependent
}

// recordAnswer records that a client acknowledged the answer to a packet sent at sentAt.
func (s suspectClients) recordAnswer(sentAt clock.Millis, client netip.Addr) {
	if len(s) == 0 {
		return
	}
	id := clientIDOf(client)
	if known, ok := s[id]; ok && sentAt > known.answeredSentAt {
		known.answeredSentAt = sentAt
		s[id] = known
	}
}

// removeExpired removes the clients whose signs are too old to count.
func (s suspectClients) removeExpired(now clock.Millis) {
	for id, known := range s {
		if now > known.expiresAt {
			delete(s, id)
		}
	}
}
