package proc

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// clockTick is the unit of the times in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// Indexes of the fields of /proc/PID/stat after the command name, counted from 0.
	userTimeField   = 11
	systemTimeField = 12
)

// Usage is the resource usage of a process over all its starts.
type Usage struct {
	CPU    time.Duration
	PeakKB int64 // peak resident memory, in KiB
}

// addExited adds the usage of a process that has exited.
func (u *Usage) addExited(state *os.ProcessState) {
	if rusage, ok := state.SysUsage().(*syscall.Rusage); ok {
		u.CPU += time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
		u.PeakKB = max(u.PeakKB, int64(rusage.Maxrss))
	}
}

// addRunning adds the usage of a running process so far. Values that cannot be read are omitted.
func (u *Usage) addRunning(pid int) {
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		u.CPU += parseCPU(stat)
	}
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		u.PeakKB = max(u.PeakKB, parsePeakKB(status))
	}
}

// parseCPU returns the sum of user and system time from a /proc/PID/stat file. The command name is in parentheses and
// may contain spaces.
func parseCPU(stat []byte) time.Duration {
	end := bytes.LastIndexByte(stat, ')')
	if end <= 0 {
		return 0
	}
	fields := strings.Fields(string(stat[end+1:]))
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTimeField], 10, 64)
	return time.Duration(user+system) * clockTick
}

// parsePeakKB returns the peak resident memory from a /proc/PID/status file, in KiB.
func parsePeakKB(status []byte) (peak int64) {
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			peak, _ = strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		}
	}
	return peak
}
