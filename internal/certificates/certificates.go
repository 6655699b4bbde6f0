// Package certificates loads a node's TLS certificate and certificate authority and reloads
// them when their files change, so that both can be replaced without a restart.
package certificates

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files holds the paths of the PEM files with the node's certificate, its private key, and
// the authority that signs the certificates of all nodes.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// checkInterval is the minimum interval between two checks of the files for changes.
const checkInterval = time.Second

// Reloader holds the content of the files as of the last successful load. It is safe for
// concurrent use.
type Reloader struct {
	files Files

	mutex       sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	modified    time.Time
	checked     time.Time
}

// Load reads the files. It fails if any of them cannot be used.
func Load(files Files) (*Reloader, error) {
	reloader := &Reloader{files: files}
	if err := reloader.read(); err != nil {
		return nil, err
	}
	return reloader, nil
}

// Server returns a server configuration for mutual TLS. It requires a client certificate
// signed by the authority.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.currentCertificate(), nil },
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: r.verify(x509.ExtKeyUsageClientAuth),
	}
}

// ServerOnly returns a server configuration that requests no client certificate. It is meant
// for operators, who authenticate with tokens.
func (r *Reloader) ServerOnly() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.currentCertificate(), nil },
	}
}

// Client returns a client configuration that presents this node's certificate and accepts
// any server certificate signed by the authority. Nodes are reached by address, so the name
// in the certificate is not verified.
func (r *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.currentCertificate(), nil },
		// VerifyConnection verifies the chain instead, against the current authority.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify returns a function that verifies the peer's certificate chain for a key usage.
func (r *Reloader) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		r.refresh()
		r.mutex.Lock()
		roots := r.authority
		r.mutex.Unlock()
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         roots,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		return errors.Wrap(err, "verify peer certificate")
	}
}

// currentCertificate returns the certificate after reloading changed files.
func (r *Reloader) currentCertificate() *tls.Certificate {
	r.refresh()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.certificate
}

// refresh reloads the files if one has changed. If that fails, the previous content stays in
// use, because files may be incomplete while they are being replaced.
func (r *Reloader) refresh() {
	r.mutex.Lock()
	isDue := time.Since(r.checked) >= checkInterval
	r.checked = time.Now()
	known := r.modified
	r.mutex.Unlock()
	if isDue && r.lastModified().After(known) {
		// The next refresh retries, because modified is unchanged after a failure.
		_ = r.read()
	}
}

// lastModified returns the latest modification time of the files.
func (r *Reloader) lastModified() time.Time {
	lastModified := time.Time{}
	for _, path := range []string{r.files.Certificate, r.files.Key, r.files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(lastModified) {
			lastModified = info.ModTime()
		}
	}
	return lastModified
}

// read loads all files and replaces the content in use if all of them are valid.
func (r *Reloader) read() error {
	modified := r.lastModified()
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s with key %s", r.files.Certificate, r.files.Key)
	}
	text, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return errors.Newf("authority %s contains no certificate", r.files.Authority)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.certificate = &certificate
	r.authority = authority
	r.modified = modified
	return nil
}
