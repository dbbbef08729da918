package main

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A bad configuration is one plain line that names what is wrong.
func TestBadConfiguration(t *testing.T) {
	for text, want := range map[string]string{
		"":   "unexpected end",
		"{}": "listen, discovery and settings are wanted",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"zz","settings":{}}`:                                                             "seed",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":[]}`:                                                              "settings",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{},"limits":{"sockets":3}}`:                                       "sockets are too few",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{},"limits":{"sockets":1024}}`:                                    "gateway 0 of 0",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"familyInfo":{"sharedCounter":true}},"limits":{"sockets":1024}}`: "no address of it",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("ROUTER_CONFIG", path)
		err := run(slog.New(slog.DiscardHandler))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", text, err, want)
		}
	}
	t.Setenv("ROUTER_CONFIG", "")
	if err := run(slog.New(slog.DiscardHandler)); err == nil {
		t.Error("no configuration: no error")
	}
}
