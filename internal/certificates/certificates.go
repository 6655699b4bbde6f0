// Package certificates keeps a node's TLS certificate and authority in step with
// their files, so that both can be replaced without a restart.
package certificates

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files names a certificate with its key and the authority that signs those of
// all nodes, as PEM files.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// checkInterval is how often the files are looked at, at most.
const checkInterval = time.Second

// Keeper holds what the files contained when they were last in order. It is safe
// for concurrent use.
type Keeper struct {
	files Files

	mutex       sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	modified    time.Time
	checked     time.Time
}

// Load reads the files.
func Load(files Files) (*Keeper, error) {
	keeper := &Keeper{files: files}
	if err := keeper.read(); err != nil {
		return nil, err
	}
	return keeper, nil
}

// Server returns a configuration that asks callers for a certificate of the
// authority.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.current(), nil },
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: k.verify(x509.ExtKeyUsageClientAuth),
	}
}

// ServerOnly returns a configuration that shows a certificate and asks for none,
// for operators, who are known by their tokens.
func (k *Keeper) ServerOnly() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.current(), nil },
	}
}

// Client returns a configuration that shows this node's certificate and accepts
// any that the authority signed. Nodes are reached by address, so the name in a
// certificate is not compared.
func (k *Keeper) Client() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.current(), nil },
		// The chain is verified below, against the authority as it is now.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify returns a check of the peer's chain for one use.
func (k *Keeper) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer showed no certificate")
		}
		between := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			between.AddCert(certificate)
		}
		k.refresh()
		k.mutex.Lock()
		roots := k.authority
		k.mutex.Unlock()
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         roots,
			Intermediates: between,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		return errors.Wrap(err, "peer's certificate")
	}
}

func (k *Keeper) current() *tls.Certificate {
	k.refresh()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.certificate
}

// refresh reads the files again when one has changed. What cannot be read is
// left as it was: files may be half written while they are replaced.
func (k *Keeper) refresh() {
	k.mutex.Lock()
	isDue := time.Since(k.checked) >= checkInterval
	k.checked = time.Now()
	known := k.modified
	k.mutex.Unlock()
	if isDue && k.newest().After(known) {
		// The next refresh tries again.
		_ = k.read()
	}
}

func (k *Keeper) newest() time.Time {
	newest := time.Time{}
	for _, path := range []string{k.files.Certificate, k.files.Key, k.files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (k *Keeper) read() error {
	modified := k.newest()
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return errors.Wrapf(err, "certificate %s with key %s", k.files.Certificate, k.files.Key)
	}
	text, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return errors.Newf("authority %s: no certificate in it", k.files.Authority)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.certificate = &certificate
	k.authority = authority
	k.modified = modified
	return nil
}
