package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// buildDir is where the program lies that tests with real processes run; empty until it is built.
var buildDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// buildProgram builds the program once for all tests of this package and returns its path.
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

// programPath is the path of the built program; a failed build ends the test.
func programPath(t *testing.T) string {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return path
}
