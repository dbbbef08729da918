package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hitchspring/internal/override"
)

const (
	slots      = 4                      // processes of one ingress at one time: old ones that end, and the next
	lookEvery  = 100 * time.Millisecond // for other processes, and for their words
	slotTries  = 20                     // a look at a slot holds it for a moment
	slotPause  = 5 * time.Millisecond
	batonTries = 4 * time.Millisecond // between two tries at the baton where waiting for it is not to be had
)

// Dir is the folder that the processes of one ingress have in common, as one of them uses it. Its methods may be called by many
// goroutines.
type Dir struct {
	base   string // path of its files, but for their endings
	listen string
	log    *slog.Logger
	slot   *os.File
	number int
	mu     sync.Mutex // of the words' file within this process
	baton  *os.File
	seen   string // the words' file as last read, by its stamp
}

// Open takes a place among the processes of the ingress at an address.
func Open(dir, listen string, log *slog.Logger) (*Dir, error) {
	name := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r == '.' {
			return r
		}
		return '_'
	}, strings.ToLower(listen))
	d := &Dir{base: filepath.Join(dir, "hitchspring-"+name), listen: listen, log: log}
	for range slotTries {
		for n := range slots {
			f, err := os.OpenFile(d.slotName(n), os.O_CREATE|os.O_RDWR, 0o600)
			if err != nil {
				return nil, fmt.Errorf("handover: %w", err)
			}
			if flock(f, syscall.LOCK_EX|syscall.LOCK_NB) == nil {
				d.slot, d.number = f, n
				return d, nil
			}
			f.Close()
		}
		time.Sleep(slotPause)
	}
	return nil, fmt.Errorf("handover: %d processes of the ingress at %s are there already", slots, listen)
}

func (d *Dir) slotName(n int) string { return fmt.Sprintf("%s.slot%d", d.base, n) }

// Close gives all up that the process holds.
func (d *Dir) Close() {
	d.Unlock()
	d.slot.Close()
}

// Others is how many other processes of this ingress live. A lock tells, which the kernel lets go with the process.
func (d *Dir) SiblingCount() (n int) {
	for k := range slots {
		if k == d.number {
			continue
		}
		f, err := os.Open(d.slotName(k))
		if err != nil {
			continue
		}
		if flock(f, syscall.LOCK_SH|syscall.LOCK_NB) != nil {
			n++
		}
		f.Close()
	}
	return n
}

// Take waits for the baton, which one process holds at a time.
func (d *Dir) Lock(ctx context.Context) error {
	f, err := os.OpenFile(d.base+".baton", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	for flock(f, syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		select {
		case <-ctx.Done():
			f.Close()
			return ctx.Err()
		case <-time.After(batonTries):
		}
	}
	d.mu.Lock()
	d.baton = f
	d.mu.Unlock()
	return nil
}

// Release lets the baton go.
func (d *Dir) Unlock() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.baton != nil {
		d.baton.Close()
		d.baton = nil
	}
}

// Leave writes what the next process shall know.
func (d *Dir) WriteState(s State) error {
	s.Listen = d.listen
	b, err := Encode(s)
	if err != nil {
		return err
	}
	return d.write(".state", b)
}

// Left reads and removes what the process before has left; false where there is nothing that can be used.
func (d *Dir) ReadState(now time.Duration) (State, bool) {
	path := d.base + ".state"
	b, err := read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, false
	}
	os.Remove(path)
	var s State
	if err == nil {
		s, err = Decode(b, d.listen, now)
	}
	if err != nil {
		d.log.Warn("what another process has left is not used", "file", path, "err", err)
		return State{}, false
	}
	return s, true
}

// wordsFile is the form of the operators' words.
type wordsFile struct {
	Version int                 `json:"version"`
	Listen  string              `json:"listen"`
	Words   []override.Override `json:"words"`
}

// Save puts words into the file beside those that are there; it returns when they are on the disk.
func (d *Dir) Save(words []override.Override) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	lock, err := os.OpenFile(d.base+".words.lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("words: %w", err)
	}
	defer lock.Close()
	if err := flock(lock, syscall.LOCK_EX); err != nil {
		return fmt.Errorf("words: %w", err)
	}
	book := override.New()
	there, err := d.words()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		d.log.Warn("the file of suspensions could not be read, and is written anew", "err", err)
	}
	book.Merge(there)
	book.Merge(words)
	b, err := encodeWords(wordsFile{Version, d.listen, book.All()})
	if err != nil {
		return err
	}
	return d.write(".words", b)
}

// Words are the words on file; none where there is no file, or it cannot be used.
func (d *Dir) Overrides() []override.Override {
	words, err := d.words()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		d.log.Warn("the file of suspensions is not used", "err", err)
	}
	return words
}

func (d *Dir) words() ([]override.Override, error) {
	b, err := read(d.base + ".words")
	if err != nil {
		return nil, err
	}
	return decodeWords(b, d.listen)
}

// Watch tells others of their number and of new words, each time that they change, until ctx ends.
func (d *Dir) Watch(ctx context.Context, others func(int), words func([]override.Override)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last := -1
	for {
		if n := d.SiblingCount(); n != last {
			last = n
			others(n)
		}
		if stamp := d.stamp(); stamp != d.seen {
			d.seen = stamp
			words(d.Overrides())
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// stamp tells one state of the words' file from another; each is a file of its own.
func (d *Dir) stamp() string {
	info, err := os.Stat(d.base + ".words")
	if err != nil {
		return ""
	}
	ino := uint64(0)
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		ino = s.Ino
	}
	return fmt.Sprint(ino, info.ModTime().UnixNano(), info.Size())
}

// write puts a file there whole, or not at all.
func (d *Dir) write(ending string, b []byte) error {
	tmp := fmt.Sprintf("%s%s.%d", d.base, ending, d.number)
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	_, err = f.Write(b)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(tmp, d.base+ending)
	}
	if err != nil {
		os.Remove(tmp)
		return fmt.Errorf("handover: %w", err)
	}
	if dir, err := os.Open(filepath.Dir(d.base)); err == nil { // the name, too
		dir.Sync()
		dir.Close()
	}
	return nil
}

// read reads a file, not more of it than any can have.
func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, mostBytes+1))
}

func flock(f *os.File, how int) error {
	for {
		err := syscall.Flock(int(f.Fd()), how)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// Inherited is the listener that the platform holds, by the number of its descriptor. Closing it ends this process's use of it
// alone.
func InheritedListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d: not a descriptor", fd)
	}
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is not a listening socket: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d is not a listening TCP socket", fd)
	}
	return ln, nil
}
