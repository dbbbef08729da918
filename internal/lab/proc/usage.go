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
	// The fields of /proc/PID/stat behind the command's name, counted from 0.
	userTimeField   = 11
	systemTimeField = 12
)

// Usage is what a process used, over all its starts.
type Usage struct {
	CPU    time.Duration
	PeakKB int64 // the most resident memory at a time
}

// addExited adds what a process used that has exited.
func (u *Usage) addExited(state *os.ProcessState) {
	if rusage, ok := state.SysUsage().(*syscall.Rusage); ok {
		u.CPU += time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
		u.PeakKB = max(u.PeakKB, int64(rusage.Maxrss))
	}
}

// addRunning adds what a running process has used so far. What cannot be read counts as nothing.
func (u *Usage) addRunning(pid int) {
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		u.CPU += parseCPU(stat)
	}
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		u.PeakKB = max(u.PeakKB, parsePeakKB(status))
	}
}

// parseCPU returns the user and system time of a /proc/PID/stat. The command's name is in parentheses and may hold
// spaces.
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

// parsePeakKB returns the peak resident memory of a /proc/PID/status.
func parsePeakKB(status []byte) (peak int64) {
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			peak, _ = strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		}
	}
	return peak
}
