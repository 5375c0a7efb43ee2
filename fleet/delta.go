package fleet

import (
	"crypto/sha256"
	_ "embed" // for the JSON schema of a delta
	"encoding/binary"
	"encoding/hex"
	"sync"

	"github.com/almondflow/almondflow/strictjson"
)

//go:embed delta.schema.json
var deltaSchemaText []byte

var deltaSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompile(deltaSchemaText)
})

type deltaMessage struct {
	Base       uint64      `json:"base"`
	BaseDigest string      `json:"base_digest"`
	Version    uint64      `json:"version"`
	Digest     string      `json:"digest"`
	RemoveVMs  []string    `json:"remove_vms,omitempty"`
	VMs        []vmMessage `json:"vms,omitempty"`
}

// Digest returns a SHA-256 digest of the version and the VMs. Lists with equal documents
// have equal digests.
func (l *List) Digest() [sha256.Size]byte {
	hash := sha256.New()
	b := binary.BigEndian.AppendUint64(nil, l.version)
	for i := range l.vms {
		v := &l.vms[i]
		for _, text := range []string{v.name, v.domain, v.dataAddress.String(), v.peerAddress.String()} {
			b = append(append(b, text...), 0)
		}
		b = append(b, byte(v.state))
		hash.Write(b)
		b = b[:0]
	}
	hash.Write(b)
	return [sha256.Size]byte(hash.Sum(nil))
}

func hexDigest(l *List) string {
	d := l.Digest()
	return hex.EncodeToString(d[:])
}

// Delta returns the JSON document with the changes from base to l: base.Apply returns l
// when it is given this document.
func (l *List) Delta(base *List) []byte {
	delta := deltaMessage{
		Base:       base.version,
		BaseDigest: hexDigest(base),
		Version:    l.version,
		Digest:     hexDigest(l),
	}
	for i := range base.vms {
		if _, exists := l.index[base.vms[i].id]; !exists {
			delta.RemoveVMs = append(delta.RemoveVMs, base.vms[i].name)
		}
	}
	for i := range l.vms {
		before, exists := base.Find(l.vms[i].id)
		if !exists || *before != l.vms[i] {
			delta.VMs = append(delta.VMs, l.vms[i].toMessage())
		}
	}
	return encode(&delta)
}

// Apply returns the list that results from applying a delta to l. It does not change l. The
// result passes the same checks as a full document. The error is a
// *strictjson.BaseMismatchError if the delta is based on another list than l,
// strictjson.ErrDigestMismatch if the result does not have the expected digest, or a
// *ProblemsError.
func (l *List) Apply(delta []byte) (*List, error) {
	b := newListBuilder()
	root, ok := deltaSchema().ReadElements("$", delta, b.problems, b.elementReaders())
	if !ok {
		return nil, b.problems.Err()
	}
	base := uint64(root.Integer("base", 0))
	if base != l.version || root.Text("base_digest", "") != hexDigest(l) {
		return nil, strictjson.NewBaseMismatchError(l.version, base)
	}
	replaced := make(map[string]bool)
	for _, name := range root.Texts("remove_vms") {
		replaced[name] = true
	}
	for i := range b.entries {
		replaced[b.entries[i].vm.name] = true
	}
	b.addExcept(l, replaced)
	next, err := b.build(uint64(root.Integer("version", 0)))
	if err != nil {
		return nil, err
	}
	if hexDigest(next) != root.Text("digest", "") {
		return nil, strictjson.ErrDigestMismatch
	}
	return next, nil
}
