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

// seedDigits is the length of a hash seed in hexadecimal.
const seedDigits = 16

// FileError means that a file cannot be used.
type FileError struct {
	code  result.Code
	field string
	path  string
	err   error
}

// Code returns FileUnreadable or KeyInvalid.
func (e *FileError) Code() result.Code { return e.code }

// Error names the setting, the file and what is wrong with it.
func (e *FileError) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s: %v", e.path, e.err)
	}
	return fmt.Sprintf("$.%s = %q: %v", e.field, e.path, e.err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.err }

// Load reads a settings file. The error is a *FileError or a *ProblemsError.
func Load(path string) (*Settings, error) {
	document, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, &FileError{code: result.FileUnreadable, path: path, err: err}
	}
	return Parse(document)
}

// SteeringKey is one key that signs steered datagrams.
type SteeringKey struct {
	id     uint32
	secret []byte
}

// ID returns the number that tags carry.
func (k SteeringKey) ID() uint32 { return k.id }

// Secret returns the 32 bytes of the key.
func (k SteeringKey) Secret() []byte { return k.secret }

// SteeringKeys are the key that signs and those that are accepted besides.
type SteeringKeys struct {
	current  SteeringKey
	accepted []SteeringKey
}

// Current returns the key that signs.
func (k *SteeringKeys) Current() SteeringKey { return k.current }

// Accepted returns the other keys that are accepted while keys are changed.
func (k *SteeringKeys) Accepted() []SteeringKey { return k.accepted }

// Identity is what a daemon proves itself with and checks others by.
type Identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Certificate returns this daemon's certificate and private key.
func (i *Identity) Certificate() tls.Certificate { return i.certificate }

// Authorities returns the authorities that sign daemons' certificates.
func (i *Identity) Authorities() *x509.CertPool { return i.authorities }

// LoadHashSeed reads the seed of flow hashes.
func (f Files) LoadHashSeed() (uint64, error) {
	text, err := readKeyFile("hash_seed_file", f.hashSeed)
	if err != nil {
		return 0, err
	}
	digits := strings.TrimSpace(string(text))
	seed, err := strconv.ParseUint(digits, 16, 64)
	if err != nil || len(digits) != seedDigits {
		return 0, keyError("hash_seed_file", f.hashSeed, fmt.Errorf("must hold %d hexadecimal digits", seedDigits))
	}
	return seed, nil
}

// LoadSteeringKeys reads the keys that sign steered datagrams. It may be called again
// to take changed keys into use.
func (f Files) LoadSteeringKeys() (*SteeringKeys, error) {
	document, err := readKeyFile("steering_keys_file", f.steeringKeys)
	if err != nil {
		return nil, err
	}
	keys, err := parseSteeringKeys(document)
	if err != nil {
		return nil, keyError("steering_keys_file", f.steeringKeys, err)
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

// LoadIdentity reads the certificate, its key and the authorities. It may be called
// again to take renewed files into use.
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
		return nil, keyError("tls_certificate_file", f.tlsCertificate, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, keyError("tls_authorities_file", f.tlsAuthorities, fmt.Errorf("must hold a certificate in PEM"))
	}
	return &Identity{certificate: pair, authorities: pool}, nil
}

func readKeyFile(field, path string) ([]byte, error) {
	content, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, keyError(field, path, err)
	}
	return content, nil
}

func keyError(field, path string, err error) error {
	return &FileError{code: result.KeyInvalid, field: field, path: path, err: err}
}
