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
	adminAddrVariable = "ROUTER_ADMIN_ADDR" // overrides admin_addr, since each process needs its own
	socketFDVariable  = "ROUTER_SOCKET_FD"  // descriptor of the inherited listening socket for clients
	stateDirVariable  = "TMPDIR"            // directory shared by all processes of one ingress
)

// firstInheritedFD is the lowest valid descriptor of an inherited socket: 0 to 2 are the standard streams.
const firstInheritedFD = 3

// configFile is the JSON schema of the platform's configuration file.
type configFile struct {
	Listen    string         `json:"listen"`     // host:port for clients
	Discovery string         `json:"discovery"`  // host:port of the discovery service
	Counter   string         `json:"counter"`    // host:port of the shared counter; empty: none
	Seed      string         `json:"seed"`       // hexadecimal seed of the random numbers in decisions
	AdminAddr string         `json:"admin_addr"` // host:port of the admin server; empty: none
	Known     discovery.List `json:"known"`      // initial endpoint list
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"` // MiB; 0: no limit
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"` // parsed by package settings
}

// readConfigFile reads the configuration file and checks that the required fields are set.
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

// inheritedSocket returns the descriptor of the inherited listening socket, or 0 if the platform passed none.
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
