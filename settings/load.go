package settings

import (
	"crypto/tls"
	"crypto/x509"
	_ "embed" // embeds the schema of the steering keys
	"encoding/hex"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

//go:embed keys.schema.json
var keysSchemaText []byte

var keysSchema = sync.OnceValue(func() *strictjson.Schema { return strictjson.MustCompile(keysSchemaText) })

// hashSeedDigits is the number of hexadecimal digits of a hash seed.
const hashSeedDigits = 16

// FileError means that a settings or key file cannot be read or is invalid.
type FileError struct {
	code  result.Code
	field string
	path  string
	err   error
}

// Code returns FileUnreadable or KeyInvalid.
func (e *FileError) Code() result.Code { return e.code }

// Error returns a message with the setting, the path of the file and the cause.
func (e *FileError) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s: %v", e.path, e.err)
	}
	return fmt.Sprintf("$.%s = %q: %v", e.field, e.path, e.err)
}

// Unwrap returns the underlying error.
func (e *FileError) Unwrap() error { return e.err }

// Load reads and parses a settings file. The error is a *FileError or a *ProblemsError.
func Load(path string) (*Settings, error) {
	document, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, &FileError{code: result.FileUnreadable, path: path, err: err}
	}
	return Parse(document)
}

// SteeringKey is a key that signs steered datagrams.
type SteeringKey struct {
	id     uint32
	secret []byte
}

// ID returns the number of the key, which the tags of steered datagrams contain.
func (k SteeringKey) ID() uint32 { return k.id }

// Secret returns the 32 bytes of the key.
func (k SteeringKey) Secret() []byte { return k.secret }

// SteeringKeys holds the key that signs datagrams and the other keys whose signatures are
// accepted.
type SteeringKeys struct {
	current  SteeringKey
	accepted []SteeringKey
}

// Current returns the key that signs datagrams.
func (k *SteeringKeys) Current() SteeringKey { return k.current }

// Accepted returns the other keys whose signatures are accepted during a key rotation.
func (k *SteeringKeys) Accepted() []SteeringKey { return k.accepted }

// Identity holds the certificate that authenticates a daemon and the authorities that
// verify the certificates of others.
type Identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Certificate returns this daemon's certificate and private key.
func (i *Identity) Certificate() tls.Certificate { return i.certificate }

// Authorities returns the certificate authorities that sign the certificates of daemons.
func (i *Identity) Authorities() *x509.CertPool { return i.authorities }

// LoadHashSeed reads the seed of flow hashes. The error is a *FileError.
func (f Files) LoadHashSeed() (uint64, error) {
	text, err := readKeyFile("hash_seed_file", f.hashSeed)
	if err != nil {
		return 0, err
	}
	digits := strings.TrimSpace(string(text))
	seed, err := strconv.ParseUint(digits, 16, 64)
	if err != nil || len(digits) != hashSeedDigits {
		return 0, newKeyError("hash_seed_file", f.hashSeed, fmt.Errorf("must contain %d hexadecimal digits", hashSeedDigits))
	}
	return seed, nil
}

// LoadSteeringKeys reads the keys that sign steered datagrams. It can be called again to
// reload the keys. The error is a *FileError.
func (f Files) LoadSteeringKeys() (*SteeringKeys, error) {
	document, err := readKeyFile("steering_keys_file", f.steeringKeys)
	if err != nil {
		return nil, err
	}
	keys, err := parseSteeringKeys(document)
	if err != nil {
		return nil, newKeyError("steering_keys_file", f.steeringKeys, err)
	}
	return keys, nil
}

func parseSteeringKeys(document []byte) (*SteeringKeys, error) {
	problems := strictjson.NewProblems(result.KeyInvalid)
	problems.HideValues()
	root, ok := keysSchema().Read("$", document, problems)
	if !ok {
		return nil, problems.Err()
	}
	current := uint32(root.Integer("current", 0))
	keys := &SteeringKeys{}
	seen := make(map[uint32]bool)
	for _, o := range root.Objects("keys") {
		key := SteeringKey{id: uint32(o.Integer("id", 0))}
		key.secret, _ = hex.DecodeString(o.Text("secret", "")) // the schema checks the digits
		if seen[key.id] {
			problems.Add(o.Path("id"), key.id, "id is used already")
		}
		seen[key.id] = true
		if key.id == current {
			keys.current = key
		} else {
			keys.accepted = append(keys.accepted, key)
		}
	}
	if !seen[current] {
		problems.Add(root.Path("current"), current, "there is no key with this id")
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return keys, nil
}

// LoadIdentity reads the certificate, its private key and the authorities. It can be called
// again to reload renewed files. The error is a *FileError.
func (f Files) LoadIdentity() (*Identity, error) {
	certificate, err := readKeyFile("tls_certificate_file", f.tlsCertificate)
	if err != nil {
		return nil, err
	}
	key, err := readKeyFile("tls_key_file", f.tlsKey)
	if err != nil {
		return nil, err
	}
	authorities, err := readKeyFile("tls_authorities_file", f.tlsAuthorities)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, newKeyError("tls_certificate_file", f.tlsCertificate, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, newKeyError("tls_authorities_file", f.tlsAuthorities, fmt.Errorf("must contain a certificate in PEM"))
	}
	return &Identity{certificate: pair, authorities: pool}, nil
}

func readKeyFile(field, path string) ([]byte, error) {
	content, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, newKeyError(field, path, err)
	}
	return content, nil
}

func newKeyError(field, path string, err error) error {
	return &FileError{code: result.KeyInvalid, field: field, path: path, err: err}
}
