package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
)

const (
	batchesPath      = "/v1/batches"
	jobPageSize      = 100
	watchInterval    = time.Second
	maxWatchInterval = 10 * time.Second
)

// batch is a job as returned by the callers' API.
type batch struct {
	ID            string      `json:"id"`
	Status        string      `json:"status"`
	Endpoint      string      `json:"endpoint"`
	CreatedAt     int64       `json:"created_at"`
	OutputFileID  string      `json:"output_file_id,omitempty"`
	ErrorFileID   string      `json:"error_file_id,omitempty"`
	RequestCounts batchCounts `json:"request_counts"`
}

type batchCounts struct {
	Total     int64 `json:"total"`
	Completed int64 `json:"completed"`
	Failed    int64 `json:"failed"`
}

func (b batch) processed() int64 { return b.RequestCounts.Completed + b.RequestCounts.Failed }

func (b batch) ended() bool {
	switch b.Status {
	case "completed", "failed", "cancelled", "expired":
		return true
	default:
		return false
	}
}

func (a *app) jobCommand() *cli.Command {
	return &cli.Command{
		Name: "job", Usage: "batch jobs, with a caller's key",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the workspace's jobs, newest first", Flags: []cli.Flag{&cli.IntFlag{Name: "limit", Value: 20}}, Action: a.jobList},
			{Name: "get", ArgsUsage: "JOB", Usage: "show a job", Action: a.jobGet},
			{Name: "cancel", ArgsUsage: "JOB", Usage: "cancel a job", Action: a.jobCancel},
			{Name: "watch", ArgsUsage: "JOB", Usage: "show progress until the job ends", Action: a.jobWatch},
		},
	}
}

func (a *app) jobList(ctx context.Context, c *cli.Command) error {
	api, err := callerClient(c)
	if err != nil {
		return err
	}
	jobs, err := listJobs(ctx, api, c.Int("limit"))
	if err != nil {
		return err
	}
	return a.print(c, jobs, func(w io.Writer) { printJobTable(w, jobs) })
}

func listJobs(ctx context.Context, api *client, limit int) ([]batch, error) {
	jobs := []batch{}
	for after := ""; len(jobs) < limit; {
		var page struct {
			Data    []batch `json:"data"`
			HasMore bool    `json:"has_more"`
		}
		query := url.Values{"limit": {strconv.Itoa(min(jobPageSize, limit-len(jobs)))}}
		if after != "" {
			query.Set("after", after)
		}
		if _, err := api.call(ctx, request{method: http.MethodGet, path: batchesPath, query: query, into: &page}); err != nil {
			return nil, err
		}
		jobs = append(jobs, page.Data...)
		if !page.HasMore || len(page.Data) == 0 {
			break
		}
		after = page.Data[len(page.Data)-1].ID
	}
	return jobs, nil
}

func printJobTable(w io.Writer, jobs []batch) {
	printTable(w, "JOB\tSTATUS\tDONE\tFAILED\tTOTAL\tCREATED", func(line func(...any)) {
		for _, j := range jobs {
			line(j.ID, j.Status, j.processed(), j.RequestCounts.Failed, j.RequestCounts.Total, formatUnixTime(j.CreatedAt))
		}
	})
}

// requestJob sends a request for the job named by the only argument and returns
// the job in the response.
func (a *app) requestJob(ctx context.Context, c *cli.Command, method, suffix string) (batch, error) {
	var job batch
	id, err := oneArg(c, "job")
	if err != nil {
		return job, err
	}
	api, err := callerClient(c)
	if err != nil {
		return job, err
	}
	_, err = api.call(ctx, request{method: method, path: batchesPath + "/" + url.PathEscape(id) + suffix, into: &job})
	return job, err
}

func (a *app) printJob(c *cli.Command, job batch) error {
	return a.print(c, job, func(w io.Writer) { printJobTable(w, []batch{job}) })
}

func (a *app) jobGet(ctx context.Context, c *cli.Command) error {
	job, err := a.requestJob(ctx, c, http.MethodGet, "")
	if err != nil {
		return err
	}
	return a.printJob(c, job)
}

func (a *app) jobCancel(ctx context.Context, c *cli.Command) error {
	job, err := a.requestJob(ctx, c, http.MethodPost, "/cancel")
	if err != nil {
		return err
	}
	return a.printJob(c, job)
}

// jobWatch polls the job until it ends. While the host is unavailable it polls
// at growing intervals, because the job continues without it.
func (a *app) jobWatch(ctx context.Context, c *cli.Command) error {
	var bar *progressbar.ProgressBar
	delay := watchInterval
	for {
		job, err := a.requestJob(ctx, c, http.MethodGet, "")
		switch {
		case err == nil:
			delay = watchInterval
			bar = a.showProgress(bar, job)
		case exitCode(err) == ExitUnavailable && ctx.Err() == nil:
			fmt.Fprintln(a.err, "ragwortstep:", err)
			delay = min(2*delay, maxWatchInterval)
		default:
			return err
		}
		if err == nil && job.ended() {
			return a.reportEndedJob(c, job)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
}

// showProgress draws the progress bar, which it creates once the number of
// items is known.
func (a *app) showProgress(bar *progressbar.ProgressBar, job batch) *progressbar.ProgressBar {
	if job.RequestCounts.Total == 0 {
		return bar
	}
	if bar == nil {
		bar = progressbar.NewOptions64(
			job.RequestCounts.Total,
			progressbar.OptionSetWriter(a.err),
			progressbar.OptionSetDescription(job.ID),
			progressbar.OptionShowCount(),
			progressbar.OptionShowIts(),
			progressbar.OptionSetItsString("items"),
			progressbar.OptionOnCompletion(func() { fmt.Fprintln(a.err) }),
		)
	}
	_ = bar.Set64(min(job.processed(), job.RequestCounts.Total)) // a failed redraw of the bar doesn't affect the watch
	return bar
}

func (a *app) reportEndedJob(c *cli.Command, job batch) error {
	err := a.printJob(c, job)
	if err == nil && job.Status != "completed" {
		err = withCode(ExitJobFailed, errors.Newf("job %s ended as %s", job.ID, job.Status))
	}
	return err
}
