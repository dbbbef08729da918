package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"hitchspring/internal/discovery"
)

// The platform's environment variables.
const (
	configVariable    = "ROUTER_CONFIG"     // path of the configuration file
	adminAddrVariable = "ROUTER_ADMIN_ADDR" // overrides admin_addr: it differs from process to process
	socketFDVariable  = "ROUTER_SOCKET_FD"  // descriptor of the clients' listening socket, which the platform holds
	stateDirVariable  = "TMPDIR"            // directory that all processes of one ingress share
)

// firstInheritedFD is the lowest descriptor that is not standard input, output or error.
const firstInheritedFD = 3

// configFile is the form of the platform's configuration.
type configFile struct {
	Listen    string         `json:"listen"`     // host:port for clients
	Discovery string         `json:"discovery"`  // host:port of discovery
	Counter   string         `json:"counter"`    // host:port of the shared counter; empty: there is none
	Seed      string         `json:"seed"`       // of the decisions' random numbers, hexadecimal
	AdminAddr string         `json:"admin_addr"` // host:port for operators; empty: there is none
	Known     discovery.List `json:"known"`      // endpoint list to start with
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"` // MiB; 0: no limit
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"` // package settings parses them
}

// readConfigFile reads the configuration file and checks that nothing required is missing.
func readConfigFile(path string) (*configFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if file.Listen == "" || file.Discovery == "" || len(file.Settings) == 0 {
		return nil, errors.New("listen, discovery and settings are wanted")
	}
	return &file, nil
}

// inheritedSocket returns the descriptor of the clients' listening socket, or 0 if the platform holds none.
func inheritedSocket() (fd int, err error) {
	text := os.Getenv(socketFDVariable)
	if text == "" {
		return 0, nil
	}
	fd, err = strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return 0, fmt.Errorf("%s %q: the number of an open descriptor is wanted", socketFDVariable, text)
	}
	return fd, nil
}
