package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
)

// alpn is the ALPN identifier of the protocol, with its version.
const alpn = "rosemarydyke/1"

type credentials struct {
	tls *tls.Config
	// resetKey derives stateless reset tokens (RFC 9000 section 10.3). It depends only on the
	// private key, so that a restarted process can reset connections of its previous run.
	resetKey quic.StatelessResetKey
}

func loadCredentials(files config.TLS) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return credentials{}, oops.In("peer").Wrapf(err, "load certificate")
	}
	keyPEM, err := os.ReadFile(files.Key)
	if err != nil {
		return credentials{}, oops.In("peer").Wrapf(err, "read key")
	}
	caPEM, err := os.ReadFile(files.CA)
	if err != nil {
		return credentials{}, oops.In("peer").Wrapf(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return credentials{}, oops.In("peer").Errorf("read certificate authority: %s holds no certificate", files.CA)
	}
	return credentials{
		tls: &tls.Config{
			Certificates: []tls.Certificate{certificate},
			RootCAs:      pool,
			ClientCAs:    pool,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			NextProtos:   []string{alpn},
			MinVersion:   tls.VersionTLS13,
		},
		resetKey: sha256.Sum256(append([]byte("rosemarydyke stateless reset\n"), keyPEM...)),
	}, nil
}

// identityOf returns the VM name in the peer's verified certificate, and the peer's address.
func identityOf(conn *quic.Conn) (Identity, error) {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return Identity{}, oops.In("peer").Errorf("peer sent no certificate")
	}
	vm := certificates[0].Subject.CommonName
	if vm == "" {
		return Identity{}, oops.In("peer").Errorf("peer's certificate has no common name")
	}
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return Identity{}, oops.In("peer").Wrapf(err, "parse peer's address")
	}
	return Identity{VM: vm, Address: netip.AddrPortFrom(address.Addr().Unmap(), address.Port())}, nil
}
