package lab2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Add writes a line with the time since the start of the run.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}
