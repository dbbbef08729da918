package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// buildDir is the temporary directory with the program for tests that start processes; empty until it is built.
var buildDir string

func TestMain(m *testing.M) {
	if addr := os.Getenv(mixedFloodVariable); addr != "" {
		floodMixed(addr)
		return
	}
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// buildProgram returns the path of the program, which it builds on the first call.
var buildProgram = sync.OnceValues(func() (path string, err error) {
	if buildDir, err = os.MkdirTemp("", "hitchspring"); err != nil {
		return "", err
	}
	path = filepath.Join(buildDir, "hitchspring")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
})

// programPath returns the path of the built program and fails the test if the build fails.
func programPath(t *testing.T) string {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return path
}
