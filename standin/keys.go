package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that WriteKeys writes in addition to NAME.pem and NAME.key for each VM.
const (
	authoritiesFile  = "authorities.pem"
	hashSeedFile     = "hash_seed"
	steeringKeysFile = "steering_keys.json"
)

const (
	hashSeedSize = 8  // bytes
	secretSize   = 32 // bytes
	keyFileMode  = 0o600
)

// steeringKeysDocument is the content of steeringKeysFile.
type steeringKeysDocument struct {
	Current uint32        `json:"current"`
	Keys    []steeringKey `json:"keys"`
}

type steeringKey struct {
	ID     uint32 `json:"id"`
	Secret string `json:"secret"`
}

// WriteKeys writes the key files of a trial deployment to a directory: the certificate of an
// authority, a certificate and private key for each named entry VM, a hash seed and steering
// keys.
func WriteKeys(directory string, names []string) error {
	seed := make([]byte, hashSeedSize)
	secret := make([]byte, secretSize)
	_, _ = rand.Read(seed)
	_, _ = rand.Read(secret)
	steering, err := json.Marshal(steeringKeysDocument{Current: 1, Keys: []steeringKey{{ID: 1, Secret: hex.EncodeToString(secret)}}})
	if err != nil {
		return err
	}
	files := map[string][]byte{hashSeedFile: []byte(hex.EncodeToString(seed)), steeringKeysFile: steering}
	authority, err := newAuthority()
	if err != nil {
		return err
	}
	files[authoritiesFile] = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authority.der})
	for i, name := range names {
		if err = authority.issue(files, name, int64(i)+2); err != nil {
			return err
		}
	}
	for name, content := range files {
		if err = os.WriteFile(filepath.Join(directory, name), content, keyFileMode); err != nil {
			return err
		}
	}
	return nil
}

// authority is a certificate authority that signs the certificates of entry VMs.
type authority struct {
	key      *ecdsa.PrivateKey
	template *x509.Certificate
	der      []byte
}

func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate("almondflow stand-in authority", 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	return &authority{key: key, template: template, der: der}, err
}

func newTemplate(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
}

// issue adds the certificate and private key of an entry VM to the files.
func (a *authority) issue(files map[string][]byte, name string, serial int64) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := newTemplate(name, serial)
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.template, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	files[name+".pem"] = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	files[name+".key"] = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})
	return nil
}
