package geneve_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
)

const (
	vni  geneve.VNI = 0xabcdef
	self fleet.ID   = 7
)

var inner = append([]byte{0x45}, bytes.Repeat([]byte{9}, 99)...)

// key returns a key whose secret is derived from its id.
func key(t testing.TB, id uint32) geneve.Key {
	t.Helper()
	k, err := geneve.NewKey(id, bytes.Repeat([]byte{byte(id)}, 32))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// ring returns Keys whose current key has the id current.
func ring(t testing.TB, current uint32, others ...uint32) *geneve.Keys {
	t.Helper()
	var keys []geneve.Key
	for _, id := range others {
		keys = append(keys, key(t, id))
	}
	r, err := geneve.NewKeyRing(key(t, current), keys...)
	if err != nil {
		t.Fatal(err)
	}
	return geneve.NewKeys(r)
}

// drawMessage draws messages of all sizes, up to the largest.
func drawMessage(t *rapid.T) steer.Message {
	m := steer.Message{
		Kind:             steer.Kind(rapid.IntRange(1, 10).Draw(t, "kind")),
		From:             fleet.ID(rapid.Uint64().Draw(t, "from")),
		Origin:           fleet.ID(rapid.Uint64().Draw(t, "origin")),
		CandidateCount:   uint8(rapid.IntRange(0, steer.MaxCandidates).Draw(t, "trail")),
		DecidedFlowCount: uint8(rapid.IntRange(0, steer.MaxDecidedFlows).Draw(t, "settled")),
	}
	if rapid.Bool().Draw(t, "with target") {
		m.Target = flow.NewTarget(3, flow.Endpoint{})
		m.Ballot = steer.Ballot{ListVersion: 1}
		m.Key = flow.NewKey(flow.TCP, flow.Endpoint{}, flow.Endpoint{})
	}
	return m
}

func TestDatagramRoundTrip(t *testing.T) {
	keys := ring(t, 1)
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		body := rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "inner")
		if len(body) > 0 {
			body[0] = rapid.SampledFrom([]byte{0x45, 0x60}).Draw(t, "version")
		}
		encoded := geneve.NewEncoder(vni, keys).AppendPeer(nil, self, &m, body)
		if len(encoded) > len(body)+geneve.MaxOverhead {
			t.Fatalf("encapsulation adds %d bytes, which exceeds MaxOverhead", len(encoded)-len(body))
		}
		got, err := geneve.NewDecoder(self, vni, keys).Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if *got.Message() != m || !bytes.Equal(got.Inner(), body) {
			t.Fatalf("got %+v %x, want %+v %x", got.Message(), got.Inner(), m, body)
		}
		checkWithGopacket(t, encoded, body)
	})
}

// checkWithGopacket compares the encoding with what the decoder of gopacket reads. It skips
// datagrams with more options than that decoder supports.
func checkWithGopacket(t *rapid.T, encoded, body []byte) {
	if int(encoded[0])*4+8 > 255 {
		return
	}
	var g layers.Geneve
	if err := g.DecodeFromBytes(encoded, gopacket.NilDecodeFeedback); err != nil {
		t.Fatal(err)
	}
	isControl := len(body) == 0
	if g.VNI != uint32(vni) || !g.CriticalOption || g.OAMPacket != isControl || !bytes.Equal(g.LayerPayload(), body) {
		t.Fatalf("gopacket decoded %+v", g)
	}
}

func TestFabricDatagramCarriesNoMessage(t *testing.T) {
	is := is.New(t)
	keys := ring(t, 1)
	got, err := geneve.NewDecoder(self, vni, keys).Decode(geneve.NewEncoder(vni, keys).AppendFabric(nil, inner))
	is.NoErr(err)
	is.Equal(got.Inner(), inner)
	is.True(got.Message() == nil)
}

// code returns the result code of an *Error, or result.OK for any other error and for nil.
func code(err error) result.Code {
	var failure *geneve.Error
	if errors.As(err, &failure) {
		return failure.Code()
	}
	return result.OK
}

// TestDecodeRejectsInvalidDatagrams checks the result code of each kind of invalid datagram,
// and that deviations that a receiver must ignore are accepted.
func TestDecodeRejectsInvalidDatagrams(t *testing.T) {
	keys := ring(t, 1)
	withOption := func(class, optionType, units byte) []byte {
		option := append([]byte{class, 0xaf, optionType, units}, make([]byte, int(units)*4)...)
		return append(append([]byte{units + 1, 0, 8, 0, 0xab, 0xcd, 0xef, 0}, option...), inner...)
	}
	option := func(optionType, units byte) []byte { return withOption(1, optionType, units) }
	almondflowOption := func(optionType, units byte) []byte { return withOption(0xff, optionType, units) }
	peer := geneve.NewEncoder(vni, keys).AppendPeer(nil, self, &steer.Message{Kind: steer.Steer}, inner)
	peer[1] |= 0x80
	plain := func(offset int, value byte) []byte {
		b := geneve.NewEncoder(vni, keys).AppendFabric(nil, inner)
		b[offset] = value
		return b
	}
	cases := []struct {
		name     string
		datagram []byte
		want     result.Code
	}{
		{"empty", nil, result.DroppedMalformed},
		{"truncated header", plain(0, 0)[:7], result.DroppedMalformed},
		{"no inner packet", plain(0, 0)[:8], result.DroppedMalformed},
		{"version", plain(0, 0x40), result.DroppedUnsupported},
		{"options beyond the end", plain(0, 0x3f), result.DroppedMalformed},
		{"control packet without a message", plain(1, 0x80), result.DroppedUnsupported},
		{"unknown protocol type", plain(2, 0x65), result.DroppedUnsupported},
		{"unknown network identifier", plain(4, 1), result.DroppedUnsupported},
		{"reserved bits are ignored", plain(7, 0xff), result.OK},
		{"IPv6 packet with the protocol type of IPv4", plain(8, 0x60), result.DroppedMalformed},
		{"unknown option", option(1, 1), result.OK},
		{"unknown critical option", option(0x81, 1), result.DroppedUnsupported},
		{"option beyond the end of the options", bytes.Replace(option(1, 1), []byte{1, 1}, []byte{1, 2}, 1), result.DroppedMalformed},
		{"empty unknown option", option(1, 0), result.OK},
		{"control packet with an inner packet", peer, result.DroppedMalformed},
		{"rest of a body without its start", almondflowOption(0x82, 20), result.DroppedMalformed},
		{"almondflow option without data", almondflowOption(0x81, 0), result.DroppedMalformed},
		{"almondflow option without a message", almondflowOption(0x81, 1), result.DroppedMalformed},
		{"forged message", almondflowOption(0x81, 20), result.DroppedBadTag},
		{"unknown almondflow option", almondflowOption(0x83, 1), result.DroppedUnsupported},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := geneve.NewDecoder(self, vni, keys).Decode(c.datagram)
			is.Equal(code(err), c.want)
		})
	}
}

// TestTagCoversMessageContextAndInnerHeaders changes each byte up to the last covered one in
// turn. A decoder that accepted the result would let a forger alter messages. Only changes of
// the reserved bits in bytes 1 and 7 of the header, which receivers ignore, may pass.
func TestTagCoversMessageContextAndInnerHeaders(t *testing.T) {
	is := is.New(t)
	keys := ring(t, 1)
	m := steer.Message{Kind: steer.Copy, From: 1, CandidateCount: steer.MaxCandidates, DecidedFlowCount: steer.MaxDecidedFlows}
	encoded := geneve.NewEncoder(vni, keys).AppendPeer(nil, self, &m, inner)
	covered := len(encoded) - len(inner) + 64
	for i := range covered {
		forged := bytes.Clone(encoded)
		forged[i] ^= 0x10
		_, err := geneve.NewDecoder(self, vni, keys).Decode(forged)
		isReserved := i == 1 || i == 7
		is.Equal(err == nil, isReserved) // one changed byte
	}
	_, err := geneve.NewDecoder(self+1, vni, keys).Decode(encoded)
	is.Equal(code(err), result.DroppedBadTag) // other receiver
	_, err = geneve.NewDecoder(self, vni, keys).Decode(encoded[:len(encoded)-1])
	is.Equal(code(err), result.DroppedBadTag) // other length
	_, err = geneve.NewDecoder(self, vni, ring(t, 2)).Decode(encoded)
	is.Equal(code(err), result.DroppedBadTag) // unknown key
}

func TestRotationLosesNothing(t *testing.T) {
	is := is.New(t)
	m := steer.Message{Kind: steer.Steer, From: 1}
	// Two VMs are at most one step apart. All VMs accept the next key before any VM computes
	// tags with it, and the previous key is removed only when no VM uses it any more.
	steps := []*geneve.KeyRing{ring(t, 1).Ring(), ring(t, 1, 2).Ring(), ring(t, 2, 1).Ring(), ring(t, 2).Ring()}
	sender, receiver := geneve.NewKeys(steps[0]), geneve.NewKeys(steps[0])
	encoder, decoder := geneve.NewEncoder(vni, sender), geneve.NewDecoder(self, vni, receiver)
	firstTagged := encoder.AppendPeer(nil, self, &m, inner)
	for i := range len(steps) - 1 {
		for _, pair := range [][2]int{{i, i}, {i, i + 1}, {i + 1, i}, {i + 1, i + 1}} {
			sender.Set(steps[pair[0]])
			receiver.Set(steps[pair[1]])
			_, err := decoder.Decode(encoder.AppendPeer(nil, self, &m, inner))
			is.NoErr(err)
		}
	}
	_, err := decoder.Decode(firstTagged)
	is.Equal(code(err), result.DroppedBadTag) // the first key was removed
}

func TestDatagramsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	keys := ring(t, 1, 2)
	encoder, decoder := geneve.NewEncoder(vni, keys), geneve.NewDecoder(self, vni, keys)
	m := steer.Message{Kind: steer.Copy, From: 1, Target: flow.NewTarget(3, flow.Endpoint{})}
	buffer := make([]byte, 0, 2000)
	allocations := testing.AllocsPerRun(10, func() {
		_, err := decoder.Decode(encoder.AppendPeer(buffer, self, &m, inner))
		is.NoErr(err)
	})
	is.Equal(allocations, 0.0)
}

func TestKeysAndKeyRings(t *testing.T) {
	is := is.New(t)
	_, err := geneve.NewKey(1, make([]byte, 31))
	is.Equal(code(err), result.KeyInvalid)
	_, err = geneve.NewKeyRing(key(t, 1), key(t, 2), key(t, 1))
	is.Equal(code(err), result.KeyInvalid)
	is.Equal(fmt.Sprintf("%v %v", ring(t, 1, 2).Ring(), key(t, 3)), "geneve keys [1 2] geneve key") // prints no secrets
	is.True(ring(t, 1, 2).Ring().Accepts(2))
	is.True(!ring(t, 1, 2).Ring().Accepts(3))
}

// FuzzDecode checks that Decode does not panic, and that every decoded datagram carries a
// message or an inner packet.
func FuzzDecode(f *testing.F) {
	keys := ring(f, 1)
	encoder, decoder := geneve.NewEncoder(vni, keys), geneve.NewDecoder(self, vni, keys)
	f.Add(encoder.AppendFabric(nil, inner))
	f.Add(encoder.AppendPeer(nil, self, &steer.Message{Kind: steer.Lookup, CandidateCount: 6, DecidedFlowCount: 4}, inner))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := decoder.Decode(b)
		if err == nil && got.Message() == nil && len(got.Inner()) == 0 {
			t.Fatal("decoded datagram has neither a message nor an inner packet")
		}
	})
}

func BenchmarkPeer(b *testing.B) {
	keys := ring(b, 1)
	encoder, decoder := geneve.NewEncoder(vni, keys), geneve.NewDecoder(self, vni, keys)
	for _, c := range []struct {
		name    string
		message steer.Message
	}{
		{"steer", steer.Message{Kind: steer.Steer, From: 1}},
		{"copy", steer.Message{Kind: steer.Copy, From: 1, Target: flow.NewTarget(3, flow.Endpoint{})}},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			var buffer []byte
			for b.Loop() {
				buffer = encoder.AppendPeer(buffer[:0], self, &c.message, inner)
				if _, err := decoder.Decode(buffer); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(buffer)-len(inner)), "overhead-B")
		})
	}
}
