package cost

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// processUsage is what the kernel has accounted to a process since its start.
type processUsage struct {
	cpu      time.Duration // user and system, of all its threads
	switches int64         // voluntary context switches of its living threads
	peakKB   int64         // peak resident memory, KiB
}

// readProcessUsage reads the usage of a running process.
func readProcessUsage(pid int) (usage processUsage, err error) {
	if usage.cpu, err = processCPU(pid); err != nil {
		return usage, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage, fmt.Errorf("account of process %d: %w", pid, err)
	}
	if usage.peakKB, err = statusField(string(status), "VmHWM:"); err != nil {
		return usage, fmt.Errorf("account of process %d: %w", pid, err)
	}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil {
		return usage, err
	}
	for _, file := range threads {
		text, err := os.ReadFile(file)
		if err != nil { // the thread has ended since
			continue
		}
		n, err := statusField(string(text), "voluntary_ctxt_switches:")
		if err != nil {
			return usage, fmt.Errorf("account of process %d: %w", pid, err)
		}
		usage.switches += n
	}
	return usage, nil
}

// cpuClock marks a clock's number as the CPU time of a whole process (clock_getcpuclockid(3)).
const cpuClock = 2

// processCPU reads a process's own CPU clock, which counts nanoseconds; /proc/PID/stat has steps of 10 ms.
func processCPU(pid int) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|cpuClock, &ts); err != nil {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, err)
	}
	return time.Duration(ts.Nano()), nil
}

// statusField returns the number that follows name in the text of a /proc/PID/status.
func statusField(text, name string) (int64, error) {
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(line, name)
		if !found {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			break
		}
		return strconv.ParseInt(fields[0], 10, 64)
	}
	return 0, fmt.Errorf("status has no %s", name)
}
