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

// processUsage is the kernel's accounting of a process since its start.
type processUsage struct {
	cpu             time.Duration // user and system time of all threads
	contextSwitches int64         // voluntary context switches of the running threads
	peakKB          int64         // peak resident memory, KiB
}

// readProcessUsage reads the usage of a running process.
func readProcessUsage(pid int) (usage processUsage, err error) {
	if usage.cpu, err = processCPU(pid); err != nil {
		return usage, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage, fmt.Errorf("usage of process %d: %w", pid, err)
	}
	if usage.peakKB, err = statusField(string(status), "VmHWM:"); err != nil {
		return usage, fmt.Errorf("usage of process %d: %w", pid, err)
	}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil {
		return usage, err
	}
	for _, file := range threads {
		text, err := os.ReadFile(file)
		if err != nil { // the thread has exited since
			continue
		}
		n, err := statusField(string(text), "voluntary_ctxt_switches:")
		if err != nil {
			return usage, fmt.Errorf("usage of process %d: %w", pid, err)
		}
		usage.contextSwitches += n
	}
	return usage, nil
}

// processCPUClock, in the low bits of a clock id, selects the CPU-time clock of a whole process, see
// clock_getcpuclockid(3).
const processCPUClock = 2

// processCPU reads the CPU-time clock of a process, which has a resolution of nanoseconds. That of /proc/PID/stat is
// 10 ms.
func processCPU(pid int) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|processCPUClock, &ts); err != nil {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, err)
	}
	return time.Duration(ts.Nano()), nil
}

// statusField returns the number after name in the content of a /proc/PID/status file.
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
