package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLS configures TLS connections to the store. Its files are read again for each connection.
type TLS struct {
	CAFile     string `toml:"ca_file,omitempty"`     // CAs for the server's certificate; default: the system's
	CertFile   string `toml:"cert_file,omitempty"`   // client certificate; requires KeyFile
	KeyFile    string `toml:"key_file,omitempty"`    // private key of the client certificate
	ServerName string `toml:"server_name,omitempty"` // name to verify; default: the host of the address
}

// validate returns the errors of the section, including errors from reading its files.
func (t *TLS) validate() []fieldError {
	s := section{name: "store.tls"}
	if (t.CertFile == "") != (t.KeyFile == "") {
		s.reject("cert_file", "cert_file and key_file go together")
		return s.errs
	}
	if _, err := t.rootCAs(); err != nil {
		s.reject("ca_file", "%w", err)
	}
	if _, err := t.certificates(); err != nil {
		s.reject("cert_file", "%w", err)
	}
	return s.errs
}

// Config reads the files and returns the TLS configuration for one connection. An error names the key of the file that
// could not be used.
func (t *TLS) Config() (*tls.Config, error) {
	rootCAs, err := t.rootCAs()
	if err != nil {
		return nil, fmt.Errorf("ca_file: %w", err)
	}
	certificates, err := t.certificates()
	if err != nil {
		return nil, fmt.Errorf("cert_file: %w", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   t.ServerName,
		RootCAs:      rootCAs,
		Certificates: certificates,
	}, nil
}

// rootCAs returns the certificate pool of CAFile, or nil, which selects the system's pool.
func (t *TLS) rootCAs() (*x509.CertPool, error) {
	if t.CAFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("no certificate in %s", t.CAFile)
	}
	return pool, nil
}

// certificates returns the client certificate, or nil if none is configured.
func (t *TLS) certificates() ([]tls.Certificate, error) {
	if t.CertFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, err
	}
	return []tls.Certificate{certificate}, nil
}
