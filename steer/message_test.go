package steer_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/steer"
)

// drawMessage draws a message with any combination of optional fields.
func drawMessage(t *rapid.T) steer.Message {
	endpoint := flow.NewEndpoint(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), rapid.Uint16().Draw(t, "port")))
	m := steer.Message{
		Kind:           steer.Kind(rapid.IntRange(int(steer.Steer), int(steer.DecidedFlows)).Draw(t, "kind")),
		Hops:           rapid.Byte().Draw(t, "hops"),
		From:           fleet.ID(rapid.Uint64().Draw(t, "from")),
		Incarnation:    rapid.Uint64().Draw(t, "incarnation"),
		ListVersion:    rapid.Uint64().Draw(t, "list"),
		Decided:        rapid.Bool().Draw(t, "decided"),
		Origin:         fleet.ID(rapid.Uint64().Draw(t, "origin")),
		CandidateCount: uint8(rapid.IntRange(0, steer.MaxCandidates).Draw(t, "trail")),
	}
	if rapid.Bool().Draw(t, "with target") {
		m.TableVersion = rapid.Uint64().Draw(t, "table")
		m.Target = flow.NewTarget(flow.NewTargetID("p", "h", 1), endpoint)
	}
	if rapid.Bool().Draw(t, "with key") {
		m.Key = flow.NewKey(flow.TCP, endpoint, endpoint)
	}
	if rapid.Bool().Draw(t, "with ballot") {
		m.Ballot = steer.Ballot{ListVersion: 3, Round: rapid.Uint16().Draw(t, "round"), VM: 9}
	}
	m.DecidedFlowCount = uint8(rapid.IntRange(0, steer.MaxDecidedFlows).Draw(t, "settled"))
	for i := range m.DecidedFlowCount {
		m.DecidedFlows[i] = rapid.Uint64().Draw(t, "hash")
	}
	for i := range m.CandidateCount {
		m.Candidates[i] = fleet.ID(rapid.Uint64().Draw(t, "visit"))
	}
	return m
}

// TestMessageRoundTrip checks that a decoded message equals the encoded one and that no
// message is longer than MaxSize.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		encoded := m.Append(nil)
		if len(encoded) > steer.MaxSize {
			t.Fatalf("encoded message has %d bytes, want at most %d", len(encoded), steer.MaxSize)
		}
		var got steer.Message
		if err := got.Decode(encoded); err != nil {
			t.Fatal(err)
		}
		if got != m {
			t.Fatalf("got %+v, want %+v", got, m)
		}
	})
}

// TestMaxSizeIsLengthOfLargestMessage encodes a message in which every field is present.
// Receivers size their buffers by MaxSize.
func TestMaxSizeIsLengthOfLargestMessage(t *testing.T) {
	is := is.New(t)
	endpoint := flow.NewEndpoint(netip.MustParseAddrPort("10.0.0.1:1"))
	m := steer.Message{
		Kind: steer.Accept, TableVersion: 1, Target: flow.NewTarget(1, endpoint), Key: flow.NewKey(flow.TCP, endpoint, endpoint),
		Ballot: steer.Ballot{ListVersion: 1}, Origin: 1, CandidateCount: steer.MaxCandidates, DecidedFlowCount: steer.MaxDecidedFlows,
	}
	is.Equal(len(m.Append(nil)), steer.MaxSize)
}

func TestDecodeTruncatedMessage(t *testing.T) {
	is := is.New(t)
	m := steer.Message{Kind: steer.Lookup, Origin: 7, CandidateCount: 2}
	encoded := m.Append(nil)
	for n := range encoded {
		var got steer.Message
		is.True(got.Decode(encoded[:n]) != nil) // every proper prefix is truncated
	}
}

// FuzzDecode checks that Decode does not panic on any input.
func FuzzDecode(f *testing.F) {
	m := steer.Message{Kind: steer.Copy, Target: flow.NewTarget(1, flow.Endpoint{})}
	f.Add(m.Append(nil))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var got steer.Message
		_ = got.Decode(b)
	})
}
