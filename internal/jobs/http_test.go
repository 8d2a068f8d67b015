package jobs

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/batch"
)

// Guards against accepting an invalid file and against errors without the
// line, a stable code or the statement that nothing ran.
func TestUploadErrors(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", func(o *Options) { o.MaxItems, o.MaxFileBytes = 10, 2<<20 })
	line := func(id, rest string) string {
		return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/x","body":{}%s}`+"\n", id, rest)
	}
	cases := []struct {
		name, purpose, content, code, message string
		status                                int
	}{
		{"malformed", "batch", line("a", "") + "{\"custom_id\":\n", "invalid_jsonl", "line 2: malformed JSON at byte", 400},
		{"duplicate", "batch", line("a", "") + "\n" + line("b", "") + line("a", ""), "duplicate_custom_id", "line 4:", 400},
		{"no id", "batch", line("", ""), "invalid_jsonl", "line 1: custom_id is missing", 400},
		{"method", "batch", line("a", `,"method":"GET"`), "invalid_jsonl", "line 1: method", 400},
		{"no body", "batch", line("a", `,"body":null`), "invalid_jsonl", "line 1: body", 400},
		{"stream", "batch", line("a", `,"body":{"stream":true}`), "invalid_jsonl", "line 1: body.stream", 400},
		{"too many", "batch", jsonl(11, chatPath), "too_many_items", "line 11:", 400},
		{"long line", "batch", line("a", "") + strings.Repeat("x", maxLineBytes+9), "line_too_long", "line 2", 400},
		{"large file", "batch", strings.Repeat(strings.Repeat(" ", 1<<19)+"\n", 5), "file_too_large", "", 413},
		{"empty", "batch", "\n\n", "empty_file", "", 400},
		{"purpose", "fine-tune", line("a", ""), "invalid_purpose", "fine-tune", 400},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			body, header := form(tc.purpose, tc.content)
			rec := a.call(testTenant, "POST", "/v1/files", header, body)
			is.Equal(rec.Code, tc.status)
			is.Equal(rec.Header().Get(headerExecuted), "no")
			if text := rec.Body.String(); !strings.Contains(text, `"code":"`+tc.code+`"`) || !strings.Contains(text, tc.message) {
				t.Errorf("answer %s", text)
			}
		})
	}
	page, err := c.store.List(c.ctx, "file", "", 0)
	if err != nil || len(page.Objects) > 0 {
		t.Errorf("refused uploads left %d objects: %v", len(page.Objects), err)
	}
}

// Guards against a file that reads back differently, parts above the
// platform's limit, and an upload that a lost answer or a cut doubles or breaks.
func TestFileContent(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a := c.start("a", nil)
	var content strings.Builder
	for i := range 1200 {
		// The text does not compress to half, so parts are split by size.
		random := make([]byte, 3000)
		_, _ = rand.Read(random)
		noise := base64.StdEncoding.EncodeToString(random)
		fmt.Fprintf(&content, `{"custom_id":"i%d","method":"POST","url":%q,"body":{"model":"m","id":%q}}`+"\n", i, chatPath, noise)
	}
	c.store.LoseAnswers(3)
	file := a.upload("\xef\xbb\xbf" + strings.ReplaceAll(content.String(), "\n", "\r\n"))
	is.Equal(file.Bytes, int64(content.Len()))
	rec := a.call(testTenant, "GET", "/v1/files/"+file.ID+"/content", nil, nil)
	is.True(rec.Body.String() == content.String())
	meta, err := a.readFileMeta(c.ctx, testTenant, file.ID)
	is.NoErr(err)
	is.True(len(meta.Parts) > 4)

	var buf bytes.Buffer
	w := multipart.NewWriter(&buf)
	part, err := w.CreateFormFile("file", "x.jsonl") // before the purpose
	is.NoErr(err)
	_, err = part.Write([]byte(jsonl(2, chatPath)))
	is.NoErr(err)
	is.NoErr(w.WriteField("purpose", "vision"))
	is.NoErr(w.Close())
	late := http.Header{"Content-Type": {w.FormDataContentType()}}
	is.Equal(a.call(testTenant, "POST", "/v1/files", late, &buf).Code, http.StatusBadRequest)

	body, header := form("batch", jsonl(900, chatPath))
	cut := &cappedReader{r: body, remaining: 60 << 10}
	is.True(a.call(testTenant, "POST", "/v1/files", header, cut).Code >= 400)
	list := decode[listBody[FileObject]](t, a.call(testTenant, "GET", "/v1/files", nil, nil))
	is.Equal(len(list.Data), 1)
}

// Guards against access from another workspace, which must look like a
// missing object.
func TestOtherWorkspaceSeesNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a := c.start("a", nil)
	job := a.submit(3, chatPath)
	ended := c.await(job.ID, func() *node { return a })
	for _, req := range [][2]string{
		{"GET", "/v1/files/" + job.InputFileID},
		{"GET", "/v1/files/" + job.InputFileID + "/content"},
		{"GET", "/v1/files/" + *ended.OutputFileID + "/content"},
		{"DELETE", "/v1/files/" + job.InputFileID},
		{"GET", "/v1/batches/" + job.ID},
		{"POST", "/v1/batches/" + job.ID + "/cancel"},
		{"GET", "/v1/batches/..%2F..%2Fconfig"},
		{"GET", "/v1/files/nothing/here"},
	} {
		rec := a.call("other", req[0], req[1], nil, nil)
		if rec.Code != http.StatusNotFound || rec.Header().Get(headerExecuted) != "no" {
			t.Errorf("%s %s: status %d, %s", req[0], req[1], rec.Code, rec.Body.String())
		}
	}
	is.Equal(len(decode[listBody[FileObject]](t, a.call("other", "GET", "/v1/files", nil, nil)).Data), 0)
	is.Equal(len(decode[listBody[BatchObject]](t, a.call("other", "GET", "/v1/batches", nil, nil)).Data), 0)
	is.Equal(a.call("", "GET", "/v1/files", nil, nil).Code, http.StatusUnauthorized)
}

// Guards against pages that skip or repeat jobs, and a wrong order.
func TestListPaging(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a := c.start("a", nil)
	file := a.upload(jsonl(2, chatPath))
	made := map[string]bool{}
	for range 7 {
		made[decode[BatchObject](t, a.createRaw(file.ID, chatPath, "")).ID] = true
	}
	var got []BatchObject
	for after, more := "", true; more; {
		page := decode[listBody[BatchObject]](t, a.call(testTenant, "GET", "/v1/batches?limit=3&after="+after, nil, nil))
		got = append(got, page.Data...)
		after, more = *page.LastID, page.HasMore
	}
	is.Equal(len(got), len(made))
	for i, job := range got {
		is.True(made[job.ID])
		delete(made, job.ID)
		is.True(i == 0 || got[i-1].CreatedAt >= job.CreatedAt)
	}
	is.Equal(a.call(testTenant, "GET", "/v1/batches?limit=x", nil, nil).Code, http.StatusBadRequest)
}

// Guards against the statement that nothing was done when the platform fails
// after the write that takes effect.
func TestUncertainOutcomes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a := c.start("a", nil)
	file := a.upload(jsonl(400, chatPath))
	failAfter := func(part string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.beforeOp = func(op, key string) {
			if op == "stored" && strings.Contains(key, part) {
				c.store.SetDown(true)
			}
		}
	}
	expect := func(rec *httptest.ResponseRecorder, executed string) {
		t.Helper()
		is.Equal(rec.Code, http.StatusServiceUnavailable)
		is.Equal(rec.Header().Get(headerExecuted), executed)
		failAfter("nothing")
		c.store.SetDown(false)
	}
	failAfter(prefixCreating)
	expect(a.createRaw(file.ID, chatPath, "first"), "unknown") // the manifest's write may be retried
	failAfter("/manifest")
	expect(a.createRaw(file.ID, chatPath, "second"), "unknown")
	c.serve = func(string) answer { return answer{status: 200, delay: 50 * time.Millisecond} }
	job := decode[BatchObject](t, a.createRaw(file.ID, chatPath, "third"))
	failAfter("/manifest")
	expect(a.call(testTenant, "POST", "/v1/batches/"+job.ID+"/cancel", nil, nil), "unknown")
	is.Equal(a.cancel(job.ID), http.StatusOK)
	c.store.SetDown(true)
	expect(a.createRaw(file.ID, chatPath, "fourth"), "no")
}

// Guards against jobs from invalid requests, a second job for a used key, and
// the removal of a file that a job still reads.
func TestCreateAndDelete(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a := c.start("a", nil)
	c.serve = func(string) answer { return answer{status: 200, delay: 50 * time.Millisecond} }
	file := a.upload(jsonl(400, chatPath))
	for body, code := range map[string]string{
		`{`: "invalid_json",
		`{"endpoint":"/v1/x","completion_window":"24h"}`:                                       "missing_parameter",
		`{"input_file_id":"` + file.ID + `","endpoint":"x","completion_window":"24h"}`:         "invalid_endpoint",
		`{"input_file_id":"` + file.ID + `","endpoint":"/v1/x","completion_window":"24h"}`:     "endpoint_mismatch",
		`{"input_file_id":"` + file.ID + `","endpoint":"` + chatPath + `"}`:                    "invalid_completion_window",
		`{"input_file_id":"` + newFileID() + `","endpoint":"/v1/x","completion_window":"24h"}`: "file_not_found",
	} {
		rec := a.call(testTenant, "POST", "/v1/batches", nil, strings.NewReader(body))
		if !strings.Contains(rec.Body.String(), `"code":"`+code+`"`) {
			t.Errorf("%s: answer %s", body, rec.Body.String())
		}
	}
	job := decode[BatchObject](t, a.createRaw(file.ID, chatPath, "k"))
	is.Equal(decode[BatchObject](t, a.createRaw(file.ID, chatPath, "k")).ID, job.ID)
	is.Equal(a.createRaw(newFileID(), chatPath, "k").Code, http.StatusConflict)
	is.Equal(a.call(testTenant, "DELETE", "/v1/files/"+file.ID, nil, nil).Code, http.StatusConflict)
	ended := c.await(job.ID, func() *node { return a })
	is.Equal(ended.Status, batch.StatusCompleted)
	is.Equal(a.call(testTenant, "DELETE", "/v1/files/"+*ended.OutputFileID, nil, nil).Code, http.StatusOK)
	is.Equal(a.job(job.ID).OutputFileID, (*string)(nil))
	is.Equal(a.call(testTenant, "GET", "/v1/files/"+*ended.OutputFileID+"/content", nil, nil).Code, http.StatusNotFound)
	for a.registry.get(job.ID) != nil {
		time.Sleep(time.Millisecond)
	}
	is.Equal(a.call(testTenant, "DELETE", "/v1/files/"+file.ID, nil, nil).Code, http.StatusOK)
	is.Equal(a.call(testTenant, "GET", "/v1/files/"+file.ID, nil, nil).Code, http.StatusNotFound)
}
