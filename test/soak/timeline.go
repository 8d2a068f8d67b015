package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// entry is one line of the timeline.
type entry struct {
	At     float64 `json:"at_s"` // seconds from the start of the run
	Kind   string  `json:"kind"` // fault, heal, check, violation, job, key, edit
	Name   string  `json:"name"`
	Target string  `json:"target,omitempty"`
	Detail string  `json:"detail,omitempty"`
}

// timeline writes the events of the run to a file, counts them and keeps the
// violations.
type timeline struct {
	begin time.Time

	mu         sync.Mutex
	file       *os.File
	violations []entry
	counts     map[string]int
}

func newTimeline(path string) (*timeline, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create timeline")
	}
	return &timeline{begin: time.Now(), file: f, counts: map[string]int{}}, nil
}

func (t *timeline) add(kind, name, target, format string, args ...any) {
	r := entry{At: time.Since(t.begin).Seconds(), Kind: kind, Name: name, Target: target, Detail: fmt.Sprintf(format, args...)}
	raw, err := json.Marshal(r)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = t.file.Write(append(raw, '\n'))
	t.counts[kind+" "+name]++
	if kind == "violation" {
		t.violations = append(t.violations, r)
		fmt.Printf("%8.2fs  violation %s %s: %s\n", r.At, r.Name, r.Target, r.Detail)
	}
}

// addViolation records a broken guarantee under the name of its invariant or of
// the check that found it.
func (t *timeline) addViolation(name, target, format string, args ...any) {
	t.add("violation", name, target, format, args...)
}

func (t *timeline) violationCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.violations)
}

// faultCount returns the number of attempted faults, including those that could
// not be applied.
func (t *timeline) faultCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for key, count := range t.counts {
		if strings.HasPrefix(key, "fault ") {
			n += count
		}
	}
	return n
}
