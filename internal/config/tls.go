package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLS says how the store is verified and which certificate it is shown. The files are read anew for each connection.
type TLS struct {
	CAFile     string `toml:"ca_file,omitempty"`     // absent: the system's authorities
	CertFile   string `toml:"cert_file,omitempty"`   // the client's certificate, with KeyFile
	KeyFile    string `toml:"key_file,omitempty"`    // of the client's certificate
	ServerName string `toml:"server_name,omitempty"` // absent: the host of the address
}

// validate returns what is wrong, also with the files as they are now.
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

// Config reads the files and returns the configuration of one connection. An error names the key of the file.
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

// rootCAs returns the authorities of CAFile, or nil for the system's.
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

// certificates returns the client's certificate, or nil if there is none.
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
