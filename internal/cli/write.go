package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/admin"
)

const revisionFlag = "revision"

// writeFlags appends the flags shared by all commands that change the
// configuration.
func writeFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.Int64Flag{Name: revisionFlag, Usage: "revision that the change is based on; without it the newest is read"},
		&cli.StringFlag{Name: "change-note", Usage: "note for the history"},
		&cli.DurationFlag{Name: "wait", Usage: "wait until the change is in force on every live host, for example 5s"},
	)
}

func writeQuery(c *cli.Command) url.Values {
	q := url.Values{}
	if note := c.String("change-note"); note != "" {
		q.Set("note", note)
	}
	if wait := c.Duration("wait"); wait > 0 {
		q.Set("wait", wait.String())
	}
	return q
}

// writeAtRevision sends a write based on --revision or the newest revision. It
// does not retry after a conflict, because a write may replace a whole object.
func writeAtRevision(ctx context.Context, c *cli.Command, api *client, r request) (admin.WriteResult, error) {
	revision := c.Int64(revisionFlag)
	if !c.IsSet(revisionFlag) {
		var err error
		if revision, err = api.currentRevision(ctx); err != nil {
			return admin.WriteResult{}, err
		}
	}
	var result admin.WriteResult
	r.revision, r.into = &revision, &result
	_, err := api.call(ctx, r)
	return result, err
}

// editObject reads the object at path, or takes initial if there is none,
// applies edit and writes it back. Without --revision it retries a conflict
// with the newer object.
func editObject[T any](ctx context.Context, c *cli.Command, api *client, path string, initial T, edit func(*T) error) (admin.WriteResult, error) {
	for attempt := 0; ; attempt++ {
		object, revision, err := readObject(ctx, api, path, initial)
		if err != nil {
			return admin.WriteResult{}, err
		}
		if c.IsSet(revisionFlag) {
			revision = c.Int64(revisionFlag)
		}
		if err := edit(&object); err != nil {
			return admin.WriteResult{}, err
		}
		var result admin.WriteResult
		_, err = api.call(ctx, request{
			method: http.MethodPut, path: path, query: writeQuery(c), revision: &revision, body: object, into: &result,
		})
		shouldRetry := hasStatus(err, http.StatusPreconditionFailed) && !c.IsSet(revisionFlag) && attempt < conflictRetries
		if !shouldRetry {
			return result, err
		}
	}
}

// readObject returns the object at path with its revision, or initial with the
// current revision if there is none.
func readObject[T any](ctx context.Context, api *client, path string, initial T) (T, int64, error) {
	object := initial
	resp, err := api.call(ctx, request{method: http.MethodGet, path: path, into: &object})
	if hasStatus(err, http.StatusNotFound) {
		revision, err := api.currentRevision(ctx)
		return initial, revision, err
	}
	if err != nil {
		return initial, 0, err
	}
	revision, err := responseRevision(resp)
	return object, revision, err
}

// reportWrite prints the result of a write. The error has ExitNotInForce if
// --wait ended before every live host adopted the revision.
func (a *app) reportWrite(c *cli.Command, result admin.WriteResult) error {
	err := a.print(c, result, func(w io.Writer) { printWriteResult(w, result) })
	if err == nil && result.InForce != nil && !*result.InForce {
		err = withCode(ExitNotInForce, errors.Newf("revision %d is written but not in force everywhere after %s", result.Revision, c.Duration("wait")))
	}
	return err
}

func printWriteResult(w io.Writer, result admin.WriteResult) {
	if result.Key != nil {
		fmt.Fprintf(w, "key %s: %s\nThis key is not shown again.\n", result.Key.ID, result.Key.Raw)
	}
	for _, change := range result.Changes {
		fmt.Fprintln(w, change)
	}
	if len(result.Changes) == 0 {
		fmt.Fprint(w, "no change, ")
	}
	fmt.Fprintf(w, "revision %d at %s\n", result.Revision, time.Now().Format(time.TimeOnly))
	for _, h := range result.Hosts {
		state := ""
		if !h.Alive {
			state = " (not alive)"
		}
		fmt.Fprintf(w, "  %s has revision %d%s\n", h.Host, h.Revision, state)
	}
}

func (a *app) removeObject(ctx context.Context, c *cli.Command, path string, query url.Values) error {
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	result, err := writeAtRevision(ctx, c, api, request{method: http.MethodDelete, path: path, query: query})
	if err != nil {
		return err
	}
	return a.reportWrite(c, result)
}
