package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
)

// idLogSuffix is the suffix of the files with ids, followed by the number of the slot of the process that writes it.
const idLogSuffix = ".ids"

// idBytes is the size of an id in a file: little endian.
const idBytes = 8

// IDLog tells the processes of an instance which requests each of them has begun to send, so that none is sent by two
// of them. Each process appends to a file of its own and reads those of the others. It is not safe for concurrent use.
type IDLog struct {
	dir     *Dir
	own     *os.File
	offsets [maxProcesses]int64 // how far the files of the other processes have been read, by slot
}

// OpenIDLog opens an empty file for this process.
func (d *Dir) OpenIDLog() (*IDLog, error) {
	flags := os.O_CREATE | os.O_WRONLY | os.O_TRUNC | os.O_APPEND
	own, err := os.OpenFile(d.idLogPath(d.slotNumber), flags, 0o600)
	if err != nil {
		return nil, fmt.Errorf("id log: %w", err)
	}
	return &IDLog{dir: d, own: own}, nil
}

func (d *Dir) idLogPath(slot int) string { return fmt.Sprintf("%s%s%d", d.base, idLogSuffix, slot) }

// Append adds ids for the other processes. It fails if not all are written; a part of them may be.
func (l *IDLog) Append(ids ...uint64) error {
	data := make([]byte, 0, idBytes*len(ids))
	for _, id := range ids {
		data = binary.LittleEndian.AppendUint64(data, id)
	}
	if _, err := l.own.Write(data); err != nil {
		return fmt.Errorf("id log: %w", err)
	}
	return nil
}

// ReadOthers calls add for each id that other processes have appended since the last call.
func (l *IDLog) ReadOthers(add func(id uint64)) error {
	var failed error
	for slot := range maxProcesses {
		if slot == l.dir.slotNumber {
			continue
		}
		if err := l.readOther(slot, add); err != nil && !errors.Is(err, fs.ErrNotExist) {
			failed = fmt.Errorf("id log: %w", err)
		}
	}
	return failed
}

// readOther reads what has been appended to one file. A file that has become shorter belongs to another process now.
func (l *IDLog) readOther(slot int, add func(id uint64)) error {
	file, err := os.Open(l.dir.idLogPath(slot))
	if err != nil {
		return err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() < l.offsets[slot] {
		l.offsets[slot] = 0
	}
	length := (info.Size() - l.offsets[slot]) / idBytes * idBytes // an id that is being written is read the next time
	data := make([]byte, min(length, maxFileBytes))
	if _, err := file.ReadAt(data, l.offsets[slot]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	l.offsets[slot] += int64(len(data))
	for ; len(data) > 0; data = data[idBytes:] {
		add(binary.LittleEndian.Uint64(data))
	}
	return nil
}

// Close closes the file, which stays for the other processes.
func (l *IDLog) Close() { l.own.Close() }
