package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of CPU times in /proc; USER_HZ is 100 on all Linux ports of Go.
const clockTick = 10 * time.Millisecond

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrapf(err, "read CPU time of process %d", pid)
	}
	// The name in parentheses may contain spaces; utime and stime are the
	// 12th and 13th fields after it.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.Newf("read CPU time of process %d: stat has only %d fields after the name", pid, len(fields))
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, errors.CombineErrors(err1, err2)
}

// residentMB returns the resident memory of the process in MB.
func residentMB(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrapf(err, "read memory use of process %d", pid)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024, err
		}
	}
	return 0, errors.Newf("read memory use of process %d: no VmRSS line", pid)
}

// loadAverage returns the machine's load average over the last minute, or -1 if
// it cannot be read. Every report contains it, because other work on the machine
// distorts latencies.
func loadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return -1
	}
	value, err := strconv.ParseFloat(strings.Fields(string(raw))[0], 64)
	if err != nil {
		return -1
	}
	return value
}
