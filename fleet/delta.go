package fleet

import (
	"crypto/sha256"
	_ "embed" // embeds the schema of a delta
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

// Digest identifies the version and the content. Lists with equal documents have equal
// digests.
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

func digestText(l *List) string {
	d := l.Digest()
	return hex.EncodeToString(d[:])
}

// Delta returns the document that Apply turns base into l with.
func (l *List) Delta(base *List) []byte {
	m := deltaMessage{
		Base:       base.version,
		BaseDigest: digestText(base),
		Version:    l.version,
		Digest:     digestText(l),
	}
	for i := range base.vms {
		if _, exists := l.index[base.vms[i].id]; !exists {
			m.RemoveVMs = append(m.RemoveVMs, base.vms[i].name)
		}
	}
	for i := range l.vms {
		before, exists := base.Find(l.vms[i].id)
		if !exists || *before != l.vms[i] {
			m.VMs = append(m.VMs, l.vms[i].message())
		}
	}
	return encode(&m)
}

// Apply returns the version that a delta leads to from l, which stays as it is. The
// result passes the same checks as a whole document. The error is a
// *strictjson.BaseError when the delta starts elsewhere, strictjson.ErrDigest, or a
// *ProblemsError.
func (l *List) Apply(delta []byte) (*List, error) {
	d := newListDraft()
	root, ok := deltaSchema().ReadElements("$", delta, d.problems, d.elements())
	if !ok {
		return nil, d.problems.Err()
	}
	base := uint64(root.Integer("base", 0))
	if base != l.version || root.Text("base_digest", "") != digestText(l) {
		return nil, strictjson.NewBaseError(l.version, base)
	}
	gone := make(map[string]bool)
	for _, name := range root.Texts("remove_vms") {
		gone[name] = true
	}
	for i := range d.entries {
		gone[d.entries[i].vm.name] = true
	}
	d.keep(l, gone)
	next, err := d.list(uint64(root.Integer("version", 0)))
	if err != nil {
		return nil, err
	}
	if digestText(next) != root.Text("digest", "") {
		return nil, strictjson.ErrDigest
	}
	return next, nil
}
