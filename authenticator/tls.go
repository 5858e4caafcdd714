package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Files names the TLS files of a process. The zero value turns TLS off.
type Files struct {
	// Certificate and Key are the paths of PEM files; both or neither are set.
	Certificate, Key string
	// Authorities is the file with the PEM certificates of the authorities that sign the
	// certificates of this system's processes. When set, TLS between them is mutual.
	Authorities string
}

// IsZero reports whether TLS is off.
func (f Files) IsZero() bool { return f == Files{} }

// Server returns the TLS configuration of a listener, or nil when TLS is off.
// If mutual is set and Authorities is given, clients must present a certificate
// signed by one of the authorities.
func (f Files) Server(mutual bool) (*tls.Config, error) {
	if f.IsZero() {
		return nil, nil
	}
	c, err := f.load()
	if err != nil {
		return nil, err
	}
	c.ClientCAs, c.RootCAs = c.RootCAs, nil
	if mutual && f.Authorities != "" {
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c, nil
}

// Client returns the TLS configuration of connections to this system's processes,
// or nil when TLS is off.
func (f Files) Client() (*tls.Config, error) {
	if f.IsZero() {
		return nil, nil
	}
	return f.load()
}

func (f Files) load() (*tls.Config, error) {
	const op = "read TLS files"
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.Certificate != "" || f.Key != "" {
		p, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		if err != nil {
			return nil, &Error{Op: op, Kind: classifier.Invalid, Err: errors.WithStack(err)}
		}
		c.Certificates = []tls.Certificate{p}
	}
	if f.Authorities == "" {
		return c, nil
	}
	b, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: errors.WithStack(err)}
	}
	c.RootCAs = x509.NewCertPool()
	if !c.RootCAs.AppendCertsFromPEM(b) {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("authorities file %s contains no PEM certificate", f.Authorities)}
	}
	return c, nil
}

// Credentials returns gRPC credentials for a TLS configuration, which is nil
// when TLS is off.
func Credentials(c *tls.Config) credentials.TransportCredentials {
	if c == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c)
}
