package inband

import "net/netip"

// Flags describe what a packet does to its flow. Several may be set.
type Flags uint8

// Flags of a packet.
const (
	Opening       Flags = 1 << iota // requests a new flow
	Acknowledging                   // acknowledges received data
	Ending                          // its sender has sent all data
	Resetting                       // aborts the flow
)

// Has reports whether all flags of wanted are set.
func (f Flags) Has(wanted Flags) bool { return f&wanted == wanted }

// Tag identifies a flow's target in the flow's packets. Zero means no target.
type Tag uint32

// Key identifies a flow by its addresses as the client sees them.
type Key struct {
	Client      netip.AddrPort
	Destination netip.AddrPort
}

// Reversed returns the key with its two ends swapped, as in packets from a target.
func (k Key) Reversed() Key { return Key{Client: k.Destination, Destination: k.Client} }

// Packet holds the fields of a client's packet that the engine uses. Any combination of values
// is valid.
type Packet struct {
	Key        Key
	Flags      Flags
	Seq        uint32 // sequence number of the first data byte; in an opening, the client's initial number
	Ack        uint32 // next byte expected from the target; in an opening, the number of retransmissions
	Tag        Tag    // tag that the client last received on this flow
	DataLength int    // length of the data in bytes
}

// IsOpening reports whether the packet is a client's request for a new flow.
func (p *Packet) IsOpening() bool {
	return p.Flags.Has(Opening) && !p.Flags.Has(Acknowledging)
}
