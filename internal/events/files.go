package events

import (
	"bufio"
	"bytes"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultFileBytes = 8 << 20
	defaultFiles     = 8
	// sinkQueueCapacity bounds the events that wait to be written. When the
	// disk is slower, events are left out of the files and counted, so that the
	// host is never delayed.
	sinkQueueCapacity = 4096
	fileSuffix        = ".events.jsonl"
)

var (
	fileDropped = expvar.NewInt("events_file_dropped")
	fileErrors  = expvar.NewInt("events_file_errors")
)

// FileOptions configures a FileSink.
type FileOptions struct {
	Folder   string       // created when missing, usually within the data folder
	MaxBytes int64        // size at which the next file starts, 8 MiB when 0
	MaxFiles int          // files kept, 8 when 0
	Logger   *slog.Logger // slog.Default when nil
}

// FileSink appends events to JSON lines files and removes the oldest files.
// Its Record method is the sink of a Recorder.
type FileSink struct {
	opts  FileOptions
	queue chan Event
	done  chan struct{}

	closeMu sync.RWMutex
	closed  bool

	// Used by run only.
	file    *os.File
	size    int64
	failing bool
}

// NewFileSink creates the folder and starts a goroutine that writes the events.
// Close writes the queued events and ends it.
func NewFileSink(o FileOptions) (*FileSink, error) {
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultFileBytes
	}
	if o.MaxFiles == 0 {
		o.MaxFiles = defaultFiles
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if err := os.MkdirAll(o.Folder, 0o750); err != nil {
		return nil, errors.Wrapf(err, "create event folder %s", o.Folder)
	}
	s := &FileSink{opts: o, queue: make(chan Event, sinkQueueCapacity), done: make(chan struct{})}
	go s.run()
	return s, nil
}

// Record queues the event. It never blocks: when the queue is full or the sink
// is closed the event is dropped and counted.
func (s *FileSink) Record(e Event) {
	s.closeMu.RLock()
	defer s.closeMu.RUnlock()
	if s.closed {
		fileDropped.Add(1)
		return
	}
	select {
	case s.queue <- e:
	default:
		fileDropped.Add(1)
	}
}

// Close writes the queued events and closes the file.
func (s *FileSink) Close() {
	s.closeMu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.closeMu.Unlock()
	<-s.done
}

func (s *FileSink) run() {
	defer close(s.done)
	for e := range s.queue {
		s.recordResult(s.write(e))
	}
	if s.file != nil {
		s.recordResult(s.file.Close())
	}
}

// recordResult counts write errors and logs when they begin and when they stop.
func (s *FileSink) recordResult(err error) {
	if err != nil {
		fileErrors.Add(1)
		fileDropped.Add(1)
	}
	if failing := err != nil; failing != s.failing {
		s.failing = failing
		s.opts.Logger.Warn("event file write status changed", "failing", failing, "folder", s.opts.Folder, "err", err)
	}
}

// write appends one line with a single write call, so that a crash leaves at
// most the last line incomplete.
func (s *FileSink) write(e Event) error {
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	line = append(line, '\n')
	if s.file == nil || s.size+int64(len(line)) > s.opts.MaxBytes {
		if err := s.rotate(e); err != nil {
			return err
		}
	}
	n, err := s.file.Write(line)
	s.size += int64(n)
	if err != nil {
		s.file.Close()
		s.file = nil // the next event starts a new file
	}
	return errors.Wrap(err, "write event file")
}

// rotate starts a new file. Its name begins with the sequence number of the
// first event, so that names sort by age.
func (s *FileSink) rotate(e Event) error {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
	name := filepath.Join(s.opts.Folder, fmt.Sprintf("%020d%s", e.Seq, fileSuffix))
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o640)
	if err != nil {
		return errors.Wrap(err, "create event file")
	}
	s.file, s.size = file, 0
	return s.removeOld()
}

func (s *FileSink) removeOld() error {
	names, err := eventFiles(s.opts.Folder)
	if err != nil {
		return err
	}
	for _, name := range names[:max(0, len(names)-s.opts.MaxFiles)] {
		if err := os.Remove(name); err != nil {
			return errors.Wrap(err, "remove old event file")
		}
	}
	return nil
}

// eventFiles returns the event files of a folder, oldest first.
func eventFiles(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Wrap(err, "list event files")
	}
	var names []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), fileSuffix) {
			names = append(names, filepath.Join(folder, entry.Name()))
		}
	}
	sort.Strings(names)
	return names, nil
}

// ReadFolder reads the events of all event files of a folder. A last line that
// a crash left incomplete is skipped; any other malformed line is an error.
func ReadFolder(folder string) ([]Event, error) {
	names, err := eventFiles(folder)
	if err != nil {
		return nil, err
	}
	var out []Event
	for _, name := range names {
		events, err := readFile(name)
		if err != nil {
			return nil, err
		}
		out = append(out, events...)
	}
	return out, nil
}

func readFile(name string) ([]Event, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open event file")
	}
	defer file.Close()
	var out []Event
	r := bufio.NewReader(file)
	for row := 1; ; row++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		var e Event
		if err := json.Unmarshal(bytes.TrimSpace(line), &e); err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, row)
		}
		out = append(out, e)
	}
}

// ParseTime parses the point in time of a filter: RFC 3339, or a duration
// before now such as 10m. An empty text is the zero time.
func ParseTime(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, errors.Newf("%q is neither a time such as 2026-01-31T14:00:00Z nor a duration before now such as 10m", text)
	}
	return at, nil
}
