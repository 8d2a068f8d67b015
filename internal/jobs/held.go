package jobs

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	heldFolder = "jobs-held"
	// spillShare is the part of the memory limit above which results go to disk.
	spillShare = 4
)

// heldResults accounts for results that are not committed yet. Without a data
// folder they stay in memory; with one, results above a quarter of the memory
// limit go to a file per chunk.
type heldResults struct {
	memoryLimit int64
	diskLimit   int64
	folder      string // empty without a disk

	mu     sync.Mutex
	memory int64
	disk   int64
	mean   int64 // running mean of a result's size
}

func newHeldResults(memoryLimit, diskLimit int64, dataFolder string) *heldResults {
	h := &heldResults{memoryLimit: memoryLimit, diskLimit: diskLimit, mean: 4 << 10}
	if dataFolder != "" {
		h.folder = filepath.Join(dataFolder, heldFolder)
	}
	return h
}

// reset removes files of an earlier incarnation, whose uncommitted results
// belong to nobody.
func (h *heldResults) reset() error {
	if h.folder == "" {
		return nil
	}
	if err := os.RemoveAll(h.folder); err != nil {
		return errors.Wrap(err, "remove held results")
	}
	return errors.Wrap(os.MkdirAll(h.folder, 0o700), "create folder for held results")
}

// full reports whether no further item may start: the unsaved results and the
// expected ones of the running items would exceed the limit.
func (h *heldResults) full(running int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.memoryLimit
	if h.folder != "" {
		limit = h.diskLimit
	}
	return h.memory+h.disk+int64(running+1)*h.mean > limit
}

// reserve accounts for a result and reports whether it belongs on disk.
func (h *heldResults) reserve(size int64) (onDisk bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mean += (size - h.mean) / 16
	if h.folder != "" && h.memory+size > h.memoryLimit/spillShare {
		h.disk += size
		return true
	}
	h.memory += size
	return false
}

func (h *heldResults) release(size int64, onDisk bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if onDisk {
		h.disk -= size
	} else {
		h.memory -= size
	}
}

// move accounts a result in memory that could not be written to disk.
func (h *heldResults) move(size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disk -= size
	h.memory += size
}

// heldLine is one uncommitted result line.
type heldLine struct {
	item   int
	failed bool
	size   int64
	line   []byte // nil when the line is in the file
	offset int64
}

// heldChunk holds the uncommitted result lines of one chunk. The caller
// serialises calls.
type heldChunk struct {
	all   *heldResults
	name  string // file name, unique per chunk and epoch
	file  *os.File
	end   int64
	lines []heldLine
}

func (c *heldChunk) add(item int, failed bool, line []byte) {
	h := heldLine{item: item, failed: failed, size: int64(len(line)), line: line}
	if c.all.reserve(h.size) {
		if err := c.spill(&h); err != nil {
			counters.Add("held_spill_errors", 1)
			c.all.move(h.size)
		}
	}
	c.lines = append(c.lines, h)
}

func (c *heldChunk) spill(h *heldLine) error {
	if c.file == nil {
		file, err := os.OpenFile(filepath.Join(c.all.folder, c.name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return errors.Wrap(err, "create file for held results")
		}
		c.file, c.end = file, 0
	}
	if _, err := c.file.WriteAt(h.line, c.end); err != nil {
		return errors.Wrap(err, "write held result")
	}
	h.offset = c.end
	c.end += h.size
	h.line = nil
	return nil
}

// read returns the line's bytes.
func (c *heldChunk) read(h heldLine) ([]byte, error) {
	if h.line != nil {
		return h.line, nil
	}
	buf := make([]byte, h.size)
	_, err := c.file.ReadAt(buf, h.offset)
	return buf, errors.Wrap(err, "read held result")
}

// drop removes the first n lines after they were committed.
func (c *heldChunk) drop(n int) {
	for _, h := range c.lines[:n] {
		c.all.release(h.size, h.line == nil)
	}
	c.lines = append([]heldLine(nil), c.lines[n:]...)
	if len(c.lines) == 0 {
		c.close()
	}
}

func (c *heldChunk) close() {
	if c.file == nil {
		return
	}
	name := c.file.Name()
	_ = c.file.Close()
	_ = os.Remove(name)
	c.file = nil
}
