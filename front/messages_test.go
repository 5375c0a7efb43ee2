package front

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/siblings"
)

// Guards against messages in the name of another VM: whoever can send to the port, but not with a VM's
// source address, must not be able to say that a target is dead or that tables have changed.
func TestMessagesOfAnotherSenderAreRejected(t *testing.T) {
	sender := netip.MustParseAddrPort("10.1.0.9:7720")
	tests := []struct {
		name, source string
		isAccepted   bool
	}{
		{"the sender", "10.1.0.9:7720", true},
		{"the sender, as an address of IPv6", "[::ffff:10.1.0.9]:7720", true},
		{"another port", "10.1.0.9:7721", false},
		{"another address", "10.1.0.8:7720", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			data, err := siblings.Encode(siblings.Message{Kind: siblings.Heartbeat, From: siblings.Contact{Address: sender, Domain: "a"}})
			is.NoErr(err)
			message, err := decodeFrom(data, netip.MustParseAddrPort(tt.source))
			is.Equal(err == nil, tt.isAccepted)
			is.Equal(message != nil, tt.isAccepted)
			is.Equal(errors.Is(err, errOtherSender), !tt.isAccepted)
		})
	}
}
