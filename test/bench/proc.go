package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/harness"
)

// clockTick is the kernel's unit of process times; 100 a second on all Linux ports of Go.
const clockTick = 10 * time.Millisecond

// cpuTime returns the user and system time that the process has used.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrapf(err, "cpu time of %d", pid)
	}
	// The name in parentheses may contain spaces; utime and stime are the
	// 12th and 13th fields after it.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.Newf("cpu time of %d: %d fields", pid, len(fields))
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, errors.CombineErrors(err1, err2)
}

// residentMB returns the resident memory of the process in MB.
func residentMB(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrapf(err, "memory of %d", pid)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024, err
		}
	}
	return 0, errors.Newf("memory of %d: no VmRSS", pid)
}

// loadAverage returns the machine's load average over the last minute. It is
// part of every report, because other work on the machine distorts latencies.
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

// vars is the part of a host's expvar page that is measured.
type vars struct {
	Peer struct {
		Sent     int64 `json:"bytes_sent"`
		Received int64 `json:"bytes_received"`
		Calls    int64 `json:"calls"`
	} `json:"peer"`
	Memory struct {
		HeapInuse uint64
	} `json:"memstats"`
	Violations map[string]int64 `json:"invariant_violations"`
}

func readVars(ctx context.Context, h *harness.Host) (vars, error) {
	var v vars
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.MetricsURL(), nil)
	if err != nil {
		return v, errors.Wrapf(err, "expvar of %s", h.Name)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, errors.Wrapf(err, "expvar of %s", h.Name)
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v, errors.Wrapf(err, "expvar of %s", h.Name)
}
