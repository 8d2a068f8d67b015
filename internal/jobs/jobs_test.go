package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/batch"
)

// Guards against lost or repeated items on two hosts without any fault, and
// against results that only one of the hosts can read.
func TestJobOverTwoHosts(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a, b := c.start("a", nil), c.start("b", nil)
	job := a.submit(1203, chatPath)
	is.Equal(job.Status, batch.StatusInProgress)
	is.Equal(job.RequestCounts.Total, 1203)
	ended := c.awaitEnd(job.ID, func() *node { return a })
	is.Equal(ended.Status, batch.StatusCompleted)
	for _, n := range []*node{a, b} {
		output, _ := n.checkOneResultPerItem(ended, 1203)
		is.Equal(string(output["i7"].Response.Body), `{"echo":"i7"}`)
	}
	for id, runs := range c.runs {
		if runs != 1 {
			t.Errorf("item %s ran %d times without any failure", id, runs)
		}
	}
}

// Guards against a paused owner that resumes after its chunk was taken over and
// commits or adds a second result.
func TestPausedOwnerCannotCommit(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a, b := c.start("a", nil), c.start("b", nil)
	c.serve = func(string) response { return response{status: 200, delay: 10 * time.Millisecond} }
	job := b.submit(3000, chatPath)
	c.awaitRuns(500, 3000)
	a.pause()
	ended := c.awaitEnd(job.ID, func() *node { return b })
	is.Equal(ended.RequestCounts.Completed, 3000)
	a.resume()
	time.Sleep(200 * time.Millisecond)
	is.Equal(b.job(job.ID).RequestCounts, ended.RequestCounts)
	b.checkOneResultPerItem(ended, 3000)
}
