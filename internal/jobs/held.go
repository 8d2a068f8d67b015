package jobs

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	heldFolder = "jobs-held"
	// spillDivisor determines how much of the memory limit is used before results
	// go to disk: memoryLimit/spillDivisor.
	spillDivisor = 4
)

// heldResults accounts for this host's results that are not committed yet.
// Without a data folder they stay in memory. With one, results beyond a quarter
// of the memory limit go to one file per chunk.
type heldResults struct {
	memoryLimit int64
	diskLimit   int64
	folder      string // empty without a disk

	mu       sync.Mutex
	memory   int64
	disk     int64
	running  int64 // items that were started and have not ended
	meanSize int64 // running mean of a result's size
}

func newHeldResults(memoryLimit, diskLimit int64, dataFolder string) *heldResults {
	h := &heldResults{memoryLimit: memoryLimit, diskLimit: diskLimit, meanSize: 4 << 10}
	if dataFolder != "" {
		h.folder = filepath.Join(dataFolder, heldFolder)
	}
	return h
}

// reset removes the files of an earlier incarnation, whose uncommitted results
// are no longer valid.
func (h *heldResults) reset() error {
	if h.folder == "" {
		return nil
	}
	if err := os.RemoveAll(h.folder); err != nil {
		return errors.Wrap(err, "remove held results")
	}
	return errors.Wrap(os.MkdirAll(h.folder, 0o700), "create folder for held results")
}

// full reports whether no further item may start, because the held results and
// the expected results of the running items would exceed the limit.
func (h *heldResults) full() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fullLocked()
}

func (h *heldResults) fullLocked() bool {
	limit := h.memoryLimit
	if h.folder != "" {
		limit = h.diskLimit
	}
	return h.memory+h.disk+(h.running+1)*h.meanSize > limit
}

// startItem accounts for the expected result of an item that starts, unless the
// results are full.
func (h *heldResults) startItem() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fullLocked() {
		return false
	}
	h.running++
	return true
}

// endItem undoes startItem. The item's result is accounted for before.
func (h *heldResults) endItem() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

// reserve accounts for a result and reports whether to write it to disk.
func (h *heldResults) reserve(size int64) (onDisk bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.meanSize += (size - h.meanSize) / 16
	if h.folder != "" && h.memory+size > h.memoryLimit/spillDivisor {
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

// moveToMemory accounts in memory for a result that could not be written to disk.
func (h *heldResults) moveToMemory(size int64) {
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

// heldChunk holds the uncommitted result lines of one chunk. It is not safe for
// concurrent use.
type heldChunk struct {
	account  *heldResults
	name     string // file name, unique per chunk and epoch
	file     *os.File
	fileSize int64
	lines    []heldLine
}

func (c *heldChunk) add(item int, failed bool, line []byte) {
	h := heldLine{item: item, failed: failed, size: int64(len(line)), line: line}
	if c.account.reserve(h.size) {
		if err := c.spill(&h); err != nil {
			counters.Add("held_spill_errors", 1)
			c.account.moveToMemory(h.size)
		}
	}
	c.lines = append(c.lines, h)
}

func (c *heldChunk) spill(h *heldLine) error {
	if c.file == nil {
		file, err := os.OpenFile(filepath.Join(c.account.folder, c.name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return errors.Wrap(err, "create file for held results")
		}
		c.file, c.fileSize = file, 0
	}
	if _, err := c.file.WriteAt(h.line, c.fileSize); err != nil {
		return errors.Wrap(err, "write held result")
	}
	h.offset = c.fileSize
	c.fileSize += h.size
	h.line = nil
	return nil
}

// read returns the line's bytes from memory or the file.
func (c *heldChunk) read(h heldLine) ([]byte, error) {
	if h.line != nil {
		return h.line, nil
	}
	buf := make([]byte, h.size)
	_, err := c.file.ReadAt(buf, h.offset)
	return buf, errors.Wrap(err, "read held result")
}

// drop removes the first n lines.
func (c *heldChunk) drop(n int) {
	for _, h := range c.lines[:n] {
		c.account.release(h.size, h.line == nil)
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
