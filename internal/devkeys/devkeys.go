// Package devkeys generates certificates for development and tests.
package devkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"
)

const (
	// validity is how long a development certificate is valid.
	validity = 365 * 24 * time.Hour
	// clockSkew is the tolerated difference between the clocks of two VMs.
	clockSkew = time.Hour
	// serialBits is the length of a serial number, in bits.
	serialBits = 127
)

// Names of the certificate authority's files.
const (
	CAFile    = "ca.pem"
	caKeyFile = "ca.key"
)

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Generate writes a certificate authority (ca.pem, ca.key) and, for each VM, VM.pem and VM.key into dir.
// The VM's name is the common name; 127.0.0.1 and ::1 are the IP addresses. An existing authority and the valid
// certificates that it has issued are kept.
func Generate(dir string, vms []string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return oops.In("devkeys").Wrapf(err, "create key directory")
	}
	ca, err := loadAuthority(dir)
	if errors.Is(err, fs.ErrNotExist) {
		ca, err = newAuthority(dir)
	}
	if err != nil {
		return oops.In("devkeys").Wrapf(err, "certificate authority in %s", dir)
	}
	for _, vm := range vms {
		if err := ca.issue(dir, vm); err != nil {
			return oops.In("devkeys").Wrapf(err, "certificate of VM %s", vm)
		}
	}
	return nil
}

func loadAuthority(dir string) (authority, error) {
	certificateDER, err := readPEM(filepath.Join(dir, CAFile))
	if err != nil {
		return authority{}, err
	}
	keyDER, err := readPEM(filepath.Join(dir, caKeyFile))
	if err != nil {
		return authority{}, err
	}
	certificate, err := x509.ParseCertificate(certificateDER)
	if err != nil {
		return authority{}, err
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return authority{}, err
	}
	return authority{certificate, key}, nil
}

func newAuthority(dir string) (authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return authority{}, err
	}
	template, err := newTemplate("rosemarydyke development CA")
	if err != nil {
		return authority{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return authority{}, err
	}
	if err := writeKey(filepath.Join(dir, caKeyFile), key); err != nil {
		return authority{}, err
	}
	if err := writePEM(filepath.Join(dir, CAFile), "CERTIFICATE", der, 0o644); err != nil {
		return authority{}, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return authority{}, err
	}
	return authority{certificate, key}, nil
}

// issue writes the certificate and key of a VM, unless it already has a valid certificate of this authority.
func (a authority) issue(dir, vm string) error {
	certificateFile := filepath.Join(dir, vm+".pem")
	keyFile := filepath.Join(dir, vm+".key")
	if a.hasIssued(certificateFile, keyFile) {
		return nil
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(vm)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.URIs = []*url.URL{{Scheme: "rosemarydyke", Host: "vm", Path: "/" + vm}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	if err := writeKey(keyFile, key); err != nil {
		return err
	}
	return writePEM(certificateFile, "CERTIFICATE", der, 0o644)
}

func (a authority) hasIssued(certificateFile, keyFile string) bool {
	der, err := readPEM(certificateFile)
	if err != nil {
		return false
	}
	if _, err := readPEM(keyFile); err != nil {
		return false
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return false
	}
	return certificate.CheckSignatureFrom(a.certificate) == nil && time.Now().Before(certificate.NotAfter)
}

func newTemplate(commonName string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func readPEM(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return nil, oops.In("devkeys").Errorf("%s holds no PEM block", path)
	}
	return block.Bytes, nil
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(path, "EC PRIVATE KEY", der, 0o600)
}

func writePEM(path, kind string, der []byte, mode fs.FileMode) error {
	content := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return os.WriteFile(path, content, mode)
}
