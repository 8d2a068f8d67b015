package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Line writes a line with the time since the start in seconds.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // the verdict doesn't depend on the file
	_ = r.file.Close()
}
