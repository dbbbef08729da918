// Package stand has the stand-ins, the clients and the process control of the review's cases. Everything listens on
// loopback addresses and on free ports.
package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes what was sent, answered and run to a file, with the time since the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		Fatal("record: %v", err)
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}
}

// Line adds a line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// Fatal ends the case as one that could not run.
func Fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	KillAll()
	os.Exit(NotRun)
}

// Trouble reports whether the case has its disruption: TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
