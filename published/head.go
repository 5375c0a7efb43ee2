package published

import (
	"bytes"
	"crypto/sha256"
	_ "embed" // for the JSON schema of a head
	"encoding/hex"
	"encoding/json"
	"sync"

	exact "github.com/go-json-experiment/json"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

//go:embed head.schema.json
var headSchemaText []byte

var headSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompile(headSchemaText)
})

// partReference is the name and the digest of a part, as listed in the head.
type partReference struct {
	name   string
	digest Digest
}

// isHead reports whether a value is the head of a split value, which lists its parts.
func isHead(value []byte) bool {
	var head struct {
		Parts json.RawMessage `json:"parts"`
	}
	return exact.Unmarshal(value, &head) == nil && head.Parts != nil
}

// parseHead parses the head of a split value. It returns the version and the references
// to the parts.
func parseHead(value []byte) (uint64, []partReference, error) {
	problems := strictjson.NewProblems(result.TablesInvalid)
	root, ok := headSchema().Read("$", value, problems)
	if !ok {
		return 0, nil, problems.Err()
	}
	names := make(map[string]bool)
	var parts []partReference
	for _, o := range root.Objects("parts") {
		reference := partReference{name: o.Text("name", "")}
		if names[reference.name] {
			problems.Add(o.Path("name"), reference.name, "part is listed twice")
		}
		names[reference.name] = true
		if b, err := hex.DecodeString(o.Text("sha256", "")); err == nil {
			copy(reference.digest[:], b)
		}
		parts = append(parts, reference)
	}
	return uint64(root.Integer("version", 0)), parts, problems.Err()
}

type headMessage struct {
	Version uint64        `json:"version"`
	Parts   []partMessage `json:"parts"`
}

type partMessage struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// NewHead returns the head that operators publish together with the parts. Digests are
// computed over the compact JSON of a part, so that white space does not matter. It returns
// an error if a part is not valid JSON.
func NewHead(version uint64, parts []Part) ([]byte, error) {
	message := headMessage{Version: version, Parts: make([]partMessage, 0, len(parts))}
	for i := range parts {
		digest, err := partDigest(parts[i].Document())
		if err != nil {
			return nil, err
		}
		message.Parts = append(message.Parts, partMessage{Name: parts[i].Name(), SHA256: digest.String()})
	}
	return json.Marshal(message)
}

// partDigest returns the digest of the compact form of a JSON value.
func partDigest(value []byte) (Digest, error) {
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return Digest{}, err
	}
	return sha256.Sum256(compact.Bytes()), nil
}
