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

func key(t testing.TB, id uint32) geneve.Key {
	t.Helper()
	k, err := geneve.NewKey(id, bytes.Repeat([]byte{byte(id)}, 32))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

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

// drawMessage draws messages up to the largest.
func drawMessage(t *rapid.T) steer.Message {
	m := steer.Message{
		Kind:          steer.Kind(rapid.IntRange(1, 10).Draw(t, "kind")),
		From:          fleet.ID(rapid.Uint64().Draw(t, "from")),
		Origin:        fleet.ID(rapid.Uint64().Draw(t, "origin")),
		TrailLength:   uint8(rapid.IntRange(0, steer.MaxTrail).Draw(t, "trail")),
		SettledLength: uint8(rapid.IntRange(0, steer.MaxDecided).Draw(t, "settled")),
	}
	if rapid.Bool().Draw(t, "with target") {
		m.Target = flow.NewTarget(3, flow.Endpoint{})
		m.Ballot = steer.Ballot{List: 1}
		m.Key = flow.NewKey(flow.TCP, flow.Endpoint{}, flow.Endpoint{})
	}
	return m
}

func TestDatagramSurvivesEncoding(t *testing.T) {
	keys := ring(t, 1)
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		body := rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "inner")
		if len(body) > 0 {
			body[0] = rapid.SampledFrom([]byte{0x45, 0x60}).Draw(t, "version")
		}
		encoded := geneve.NewEncoder(vni, keys).AppendPeer(nil, self, &m, body)
		if len(encoded) > len(body)+geneve.MaxOverhead {
			t.Fatalf("overhead of %d bytes", len(encoded)-len(body))
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

// checkWithGopacket compares with the library's decoder, up to the length of options
// that it can take.
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
		t.Fatalf("gopacket decodes %+v", g)
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

func code(err error) result.Code {
	var failure *geneve.Error
	if errors.As(err, &failure) {
		return failure.Code()
	}
	return result.OK
}

func TestBadDatagramsAreDropped(t *testing.T) {
	keys := ring(t, 1)
	with := func(class, kind, units byte) []byte {
		option := append([]byte{class, 0xaf, kind, units}, make([]byte, int(units)*4)...)
		return append(append([]byte{units + 1, 0, 8, 0, 0xab, 0xcd, 0xef, 0}, option...), inner...)
	}
	option := func(kind, units byte) []byte { return with(1, kind, units) }
	ours := func(kind, units byte) []byte { return with(0xff, kind, units) }
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
		{"cut header", plain(0, 0)[:7], result.DroppedMalformed},
		{"no inner packet", plain(0, 0)[:8], result.DroppedMalformed},
		{"version", plain(0, 0x40), result.DroppedUnsupported},
		{"options beyond the end", plain(0, 0x3f), result.DroppedMalformed},
		{"control packet", plain(1, 0x80), result.DroppedUnsupported},
		{"protocol type", plain(2, 0x65), result.DroppedUnsupported},
		{"network", plain(4, 1), result.DroppedUnsupported},
		{"reserved bits are ignored", plain(7, 0xff), result.OK},
		{"IPv6 under the type of IPv4", plain(8, 0x60), result.DroppedMalformed},
		{"unknown option", option(1, 1), result.OK},
		{"unknown critical option", option(0x81, 1), result.DroppedUnsupported},
		{"option beyond the options", bytes.Replace(option(1, 1), []byte{1, 1}, []byte{1, 2}, 1), result.DroppedMalformed},
		{"empty unknown option", option(1, 0), result.OK},
		{"control packet with an inner packet", peer, result.DroppedMalformed},
		{"rest of a message without its start", ours(0x82, 20), result.DroppedMalformed},
		{"our option without data", ours(0x81, 0), result.DroppedMalformed},
		{"our option without a message", ours(0x81, 1), result.DroppedMalformed},
		{"forged message", ours(0x81, 20), result.DroppedBadTag},
		{"unknown option of ours", ours(0x83, 1), result.DroppedUnsupported},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := geneve.NewDecoder(self, vni, keys).Decode(c.datagram)
			is.Equal(code(err), c.want)
		})
	}
}

func TestTagCoversMessageContextAndInnerHeaders(t *testing.T) {
	is := is.New(t)
	keys := ring(t, 1)
	m := steer.Message{Kind: steer.Copy, From: 1, TrailLength: steer.MaxTrail, SettledLength: steer.MaxDecided}
	encoded := geneve.NewEncoder(vni, keys).AppendPeer(nil, self, &m, inner)
	covered := len(encoded) - len(inner) + 64
	for i := range covered {
		forged := bytes.Clone(encoded)
		forged[i] ^= 0x10
		_, err := geneve.NewDecoder(self, vni, keys).Decode(forged)
		isReserved := i == 1 || i == 7
		is.Equal(err == nil, isReserved) // forged byte
	}
	_, err := geneve.NewDecoder(self+1, vni, keys).Decode(encoded)
	is.Equal(code(err), result.DroppedBadTag) // another receiver
	_, err = geneve.NewDecoder(self, vni, keys).Decode(encoded[:len(encoded)-1])
	is.Equal(code(err), result.DroppedBadTag) // another length
	_, err = geneve.NewDecoder(self, vni, ring(t, 2)).Decode(encoded)
	is.Equal(code(err), result.DroppedBadTag) // unknown key
}

func TestRotationLosesNothing(t *testing.T) {
	is := is.New(t)
	m := steer.Message{Kind: steer.Steer, From: 1}
	// The rings that any two VMs may have at once: the next key is known everywhere
	// before one VM makes tags with it, and nobody makes tags with a key that is dropped.
	steps := []*geneve.KeyRing{ring(t, 1).Ring(), ring(t, 1, 2).Ring(), ring(t, 2, 1).Ring(), ring(t, 2).Ring()}
	sender, receiver := geneve.NewKeys(steps[0]), geneve.NewKeys(steps[0])
	encoder, decoder := geneve.NewEncoder(vni, sender), geneve.NewDecoder(self, vni, receiver)
	old := encoder.AppendPeer(nil, self, &m, inner)
	for i := range len(steps) - 1 {
		for _, pair := range [][2]int{{i, i}, {i, i + 1}, {i + 1, i}, {i + 1, i + 1}} {
			sender.Set(steps[pair[0]])
			receiver.Set(steps[pair[1]])
			_, err := decoder.Decode(encoder.AppendPeer(nil, self, &m, inner))
			is.NoErr(err)
		}
	}
	_, err := decoder.Decode(old)
	is.Equal(code(err), result.DroppedBadTag) // the first key is in force no more
}

func TestDatagramsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	keys := ring(t, 1, 2)
	encoder, decoder := geneve.NewEncoder(vni, keys), geneve.NewDecoder(self, vni, keys)
	m := steer.Message{Kind: steer.Copy, From: 1, Target: flow.NewTarget(3, flow.Endpoint{})}
	room := make([]byte, 0, 2000)
	allocations := testing.AllocsPerRun(10, func() {
		_, err := decoder.Decode(encoder.AppendPeer(room, self, &m, inner))
		is.NoErr(err)
	})
	is.Equal(allocations, 0.0)
}

func TestKeysAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := geneve.NewKey(1, make([]byte, 31))
	is.Equal(code(err), result.KeyInvalid)
	_, err = geneve.NewKeyRing(key(t, 1), key(t, 2), key(t, 1))
	is.Equal(code(err), result.KeyInvalid)
	is.Equal(fmt.Sprintf("%v %v", ring(t, 1, 2).Ring(), key(t, 3)), "geneve keys [1 2] geneve key") // no secrets
	is.True(ring(t, 1, 2).Ring().Accepts(2))
	is.True(!ring(t, 1, 2).Ring().Accepts(3))
}

func FuzzDecode(f *testing.F) {
	keys := ring(f, 1)
	encoder, decoder := geneve.NewEncoder(vni, keys), geneve.NewDecoder(self, vni, keys)
	f.Add(encoder.AppendFabric(nil, inner))
	f.Add(encoder.AppendPeer(nil, self, &steer.Message{Kind: steer.Ask, TrailLength: 6, SettledLength: 4}, inner))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := decoder.Decode(b)
		if err == nil && got.Message() == nil && len(got.Inner()) == 0 {
			t.Fatal("neither a message nor a packet")
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
			var room []byte
			for b.Loop() {
				room = encoder.AppendPeer(room[:0], self, &c.message, inner)
				if _, err := decoder.Decode(room); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(room)-len(inner)), "overhead-B")
		})
	}
}
