package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// issuer is a certificate authority for tests.
type issuer struct {
	t      *testing.T
	key    *ecdsa.PrivateKey
	root   *x509.Certificate
	serial int64
}

func newIssuer(t *testing.T) *issuer {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	root := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	return &issuer{t: t, key: key, root: root, serial: 1}
}

func (i *issuer) write(path, kind string, bytes []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600); err != nil {
		i.t.Fatal(err)
	}
}

// issue writes a new node certificate, its key and the authority's certificate into a
// directory.
func (i *issuer) issue(directory string) Files {
	i.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		i.t.Fatal(err)
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(i.serial), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signed, err := x509.CreateCertificate(rand.Reader, leaf, i.root, &key.PublicKey, i.key)
	if err != nil {
		i.t.Fatal(err)
	}
	root, err := x509.CreateCertificate(rand.Reader, i.root, i.root, &i.key.PublicKey, i.key)
	if err != nil {
		i.t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		i.t.Fatal(err)
	}
	files := Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	i.write(files.Certificate, "CERTIFICATE", signed)
	i.write(files.Key, "EC PRIVATE KEY", encoded)
	i.write(files.Authority, "CERTIFICATE", root)
	return files
}

func load(t *testing.T, files Files) *Reloader {
	t.Helper()
	reloader, err := Load(files)
	if err != nil {
		t.Fatal(err)
	}
	return reloader
}

// handshake performs a TLS handshake between two nodes and returns the serial number of the
// server's certificate.
func handshake(server, client *Reloader) (*big.Int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	serverDone := make(chan error, 1)
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			serverDone <- err
			return
		}
		defer socket.Close()
		serverDone <- tls.Server(socket, server.Server()).Handshake()
	}()
	socket, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	dialled := tls.Client(socket, client.Client())
	if err := dialled.Handshake(); err != nil {
		return nil, err
	}
	// In TLS 1.3 the server verifies the client's certificate after the client has finished.
	if err := <-serverDone; err != nil {
		return nil, err
	}
	return dialled.ConnectionState().PeerCertificates[0].SerialNumber, nil
}

func TestNodesOfOneAuthorityAcceptEachOther(t *testing.T) {
	authority := newIssuer(t)
	first, second := load(t, authority.issue(t.TempDir())), load(t, authority.issue(t.TempDir()))
	if _, err := handshake(first, second); err != nil {
		t.Error(err)
	}
	foreign := load(t, newIssuer(t).issue(t.TempDir()))
	if _, err := handshake(first, foreign); err == nil {
		t.Error("a client of another authority was accepted")
	}
	if _, err := handshake(foreign, first); err == nil {
		t.Error("a server of another authority was accepted")
	}
}

func TestNewFilesAreTakenWithoutARestart(t *testing.T) {
	authority := newIssuer(t)
	directory := t.TempDir()
	server, client := load(t, authority.issue(directory)), load(t, authority.issue(t.TempDir()))
	before, err := handshake(server, client)
	if err != nil {
		t.Fatal(err)
	}
	files := authority.issue(directory)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.Certificate, later, later); err != nil {
		t.Fatal(err)
	}
	server.checked = time.Time{}
	after, err := handshake(server, client)
	if err != nil || after.Cmp(before) == 0 {
		t.Errorf("serial number %v, error %v, want a serial number other than %v", after, err, before)
	}
}

func TestMissingFilesAreNamed(t *testing.T) {
	if _, err := Load(Files{Certificate: "nowhere.pem", Key: "key.pem", Authority: "authority.pem"}); err == nil {
		t.Error("missing files were accepted")
	}
}
