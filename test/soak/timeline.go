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

// record is one line of the timeline.
type record struct {
	At     float64 `json:"at_s"` // from the start of the run
	Kind   string  `json:"kind"` // fault, heal, check, violation, job, key
	Name   string  `json:"name"`
	Target string  `json:"target,omitempty"`
	Detail string  `json:"detail,omitempty"`
}

// timeline writes what happened to a file and keeps the violations.
type timeline struct {
	begin time.Time

	mu         sync.Mutex
	file       *os.File
	violations []record
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
	r := record{At: time.Since(t.begin).Seconds(), Kind: kind, Name: name, Target: target, Detail: fmt.Sprintf(format, args...)}
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

// violate records a broken guarantee, named by its invariant or target.
func (t *timeline) violate(name, target, format string, args ...any) {
	t.add("violation", name, target, format, args...)
}

func (t *timeline) failed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.violations)
}

// faults returns the number of faults that were tried.
func (t *timeline) faults() int {
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
