package batch

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Status is a job's status in the API.
type Status string

// Job statuses. Completed and Cancelled are final. A job never fails as a whole:
// its items are validated when the file is uploaded, and each item has its own
// result.
const (
	StatusInProgress Status = "in_progress"
	StatusCancelling Status = "cancelling"
	StatusCompleted  Status = "completed"
	StatusCancelled  Status = "cancelled"
)

// Errors of job updates. Test for them with errors.Is.
var (
	// ErrNotCancellable reports a cancel request for a job that has ended.
	ErrNotCancellable = errors.New("job has already ended")
	// ErrCountsChanged reports counts that differ from the final ones.
	ErrCountsChanged = errors.New("counts of an ended job changed")
)

// Final reports whether a job with this status has ended.
func (s Status) Final() bool {
	return s == StatusCompleted || s == StatusCancelled
}

// Counts are the numbers of a job's items. Completed excludes failed items.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Totals sums the counts and output sizes of a job's chunks.
type Totals struct {
	Counts   Counts
	Finished int   // chunks that are done or sealed
	Output   int64 // bytes of output lines
	Errors   int64 // bytes of error lines
}

// Add includes one chunk in the totals. Counts.Total is left to the caller,
// because unclaimed chunks have no progress yet.
func (t *Totals) Add(c Chunk) {
	t.Counts.Completed += c.Completed
	t.Counts.Failed += c.Failed
	if c.Finished() {
		t.Finished++
	}
	for _, s := range c.Segments {
		t.Output += s.Output
		t.Errors += s.Errors
	}
}

// Job is the state of a job. Times are Unix milliseconds, 0 when not reached.
type Job struct {
	ID            string            `json:"id"`
	Workspace     string            `json:"workspace"`
	Endpoint      string            `json:"endpoint"`
	InputFile     string            `json:"input_file"`
	Window        string            `json:"window"`
	Metadata      map[string]string `json:"metadata,omitempty"`
	Status        Status            `json:"status"`
	Chunks        int               `json:"chunks"`
	Counts        Counts            `json:"counts"` // final once the status is final
	OutputBytes   int64             `json:"output_bytes"`
	ErrorBytes    int64             `json:"error_bytes"`
	CreatedAt     int64             `json:"created_at"`
	DeadlineAt    int64             `json:"deadline_at"`
	CancellingAt  int64             `json:"cancelling_at,omitempty"`
	EndedAt       int64             `json:"ended_at,omitempty"`
	OutputDeleted bool              `json:"output_deleted,omitempty"`
	ErrorDeleted  bool              `json:"error_deleted,omitempty"`
}

// Deadline returns the end of the job's completion window.
func (j Job) Deadline() time.Time { return time.UnixMilli(j.DeadlineAt) }

// Cancel returns the job in status cancelling. Repeating it is not an error.
func (j Job) Cancel(now time.Time) (Job, error) {
	if j.Status == StatusCancelling || j.Status == StatusCancelled {
		return j, nil
	}
	if j.Status.Final() {
		return j, ErrNotCancellable
	}
	j.Status = StatusCancelling
	j.CancellingAt = now.UnixMilli()
	return j, nil
}

// End returns the job in its final status once all chunks are finished.
// Repeating it with the same counts changes nothing.
func (j Job) End(t Totals, now time.Time) (Job, error) {
	t.Counts.Total = j.Counts.Total
	if j.Status.Final() {
		if t.Counts != j.Counts {
			return j, ErrCountsChanged
		}
		return j, nil
	}
	if t.Finished != j.Chunks {
		return j, errors.Newf("%d of %d chunks are unfinished", j.Chunks-t.Finished, j.Chunks)
	}
	if j.Status == StatusCancelling {
		j.Status = StatusCancelled
	} else {
		j.Status = StatusCompleted
	}
	j.Counts = t.Counts
	j.OutputBytes, j.ErrorBytes = t.Output, t.Errors
	j.EndedAt = now.UnixMilli()
	return j, nil
}
