package lab3

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Add writes a line with the seconds since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// toRoot changes to the repository's root, two folders above that of a case.
func toRoot() error { return os.Chdir("../..") }
