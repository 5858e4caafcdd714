package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
)

// writeCertificates writes an authority and one certificate for all processes
// into a directory. They are valid for an hour.
func writeCertificates(dir string) (authenticator.Files, error) {
	f := authenticator.Files{
		Certificate: filepath.Join(dir, "process.pem"), Key: filepath.Join(dir, "process.key"),
		Authorities: filepath.Join(dir, "authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, err
	}
	root := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: root.NotBefore, NotAfter: root.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for name, c := range map[string]*x509.Certificate{f.Authorities: root, f.Certificate: leaf} {
		b, err := x509.CreateCertificate(rand.Reader, c, root, &key.PublicKey, key)
		if err != nil {
			return f, err
		}
		if err := writePEM(name, "CERTIFICATE", b); err != nil {
			return f, err
		}
	}
	b, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, err
	}
	return f, writePEM(f.Key, "PRIVATE KEY", b)
}

func writePEM(name, kind string, b []byte) error {
	return os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)
}

// tlsFlags returns the settings of a process for TLS, none where it is off.
func tlsFlags(f authenticator.Files) []string {
	if f.IsZero() {
		return nil
	}
	return []string{"--tls-certificate", f.Certificate, "--tls-key", f.Key, "--tls-authorities", f.Authorities}
}

func tlsFlag() cli.Flag {
	return &cli.BoolFlag{Name: "tls", Usage: "secure all streams and requests between processes by mutual TLS"}
}

// maybeSecure turns on TLS where the flag is set; the result removes its files.
func (p *platform) maybeSecure(c *cli.Command) (func(), error) {
	if !c.Bool("tls") {
		return func() {}, nil
	}
	dir, err := os.MkdirTemp("", "capacity-measure-")
	if err != nil {
		return nil, err
	}
	return func() { _ = os.RemoveAll(dir) }, p.secure(dir)
}
