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

// Guards against accepting an invalid file, and against errors without the line,
// a stable code or the header that states that nothing was executed.
func TestUploadErrors(t *testing.T) {
	c := newTestCluster(t)
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
		{"too many", "batch", jsonlItems(11, chatPath), "too_many_items", "line 11:", 400},
		{"long line", "batch", line("a", "") + strings.Repeat("x", maxLineBytes+9), "line_too_long", "line 2", 400},
		{"large file", "batch", strings.Repeat(strings.Repeat(" ", 1<<19)+"\n", 5), "file_too_large", "", 413},
		{"empty", "batch", "\n\n", "empty_file", "", 400},
		{"purpose", "fine-tune", line("a", ""), "invalid_purpose", "fine-tune", 400},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			body, header := multipartForm(tc.purpose, tc.content)
			rec := a.call(testTenant, "POST", "/v1/files", header, body)
			is.Equal(rec.Code, tc.status)
			is.Equal(rec.Header().Get(headerExecuted), "no")
			if text := rec.Body.String(); !strings.Contains(text, `"code":"`+tc.code+`"`) || !strings.Contains(text, tc.message) {
				t.Errorf("response %s", text)
			}
		})
	}
	page, err := c.store.List(c.ctx, "file", "", 0)
	if err != nil || len(page.Objects) > 0 {
		t.Errorf("refused uploads left %d objects: %v", len(page.Objects), err)
	}
}

// Guards against content that differs when read back, parts above the platform's
// value limit, and files that are duplicated or damaged when a response is lost
// or an upload is interrupted.
func TestFileContent(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a := c.start("a", nil)
	var content strings.Builder
	for i := range 1200 {
		// The text does not compress to half, so parts are split by size.
		random := make([]byte, 3000)
		_, _ = rand.Read(random)
		noise := base64.StdEncoding.EncodeToString(random)
		fmt.Fprintf(&content, `{"custom_id":"i%d","method":"POST","url":%q,"body":{"model":"m","id":%q}}`+"\n", i, chatPath, noise)
	}
	c.store.LoseResponses(3)
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
	_, err = part.Write([]byte(jsonlItems(2, chatPath)))
	is.NoErr(err)
	is.NoErr(w.WriteField("purpose", "vision"))
	is.NoErr(w.Close())
	late := http.Header{"Content-Type": {w.FormDataContentType()}}
	is.Equal(a.call(testTenant, "POST", "/v1/files", late, &buf).Code, http.StatusBadRequest)

	body, header := multipartForm("batch", jsonlItems(900, chatPath))
	cut := &cappedReader{r: body, remaining: 60 << 10}
	is.True(a.call(testTenant, "POST", "/v1/files", header, cut).Code >= 400)
	list := decode[listBody[FileObject]](t, a.call(testTenant, "GET", "/v1/files", nil, nil))
	is.Equal(len(list.Data), 1)
}

// Guards against access from another workspace. The response must be the same as
// for a missing object.
func TestOtherWorkspaceGetsNotFound(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a := c.start("a", nil)
	job := a.submit(3, chatPath)
	ended := c.awaitEnd(job.ID, func() *node { return a })
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

// Guards against pages that skip or repeat jobs or list them in the wrong order.
func TestListPaging(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a := c.start("a", nil)
	file := a.upload(jsonlItems(2, chatPath))
	made := map[string]bool{}
	for range 7 {
		made[decode[BatchObject](t, a.postBatch(file.ID, chatPath, "")).ID] = true
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

// Guards against responses that state that nothing was executed when the platform
// fails after a write that took effect.
func TestUnknownOutcomeOfFailedWrites(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a := c.start("a", nil)
	file := a.upload(jsonlItems(400, chatPath))
	failAfter := func(part string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.storeHook = func(op, key string) {
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
	expect(a.postBatch(file.ID, chatPath, "first"), "unknown") // the manifest write may have been retried
	failAfter("/manifest")
	expect(a.postBatch(file.ID, chatPath, "second"), "unknown")
	c.serve = func(string) response { return response{status: 200, delay: 50 * time.Millisecond} }
	job := decode[BatchObject](t, a.postBatch(file.ID, chatPath, "third"))
	failAfter("/manifest")
	expect(a.call(testTenant, "POST", "/v1/batches/"+job.ID+"/cancel", nil, nil), "unknown")
	is.Equal(a.cancel(job.ID), http.StatusOK)
	c.store.SetDown(true)
	expect(a.postBatch(file.ID, chatPath, "fourth"), "no")
}

// Guards against jobs from invalid requests, a second job for the same
// idempotency key, and the removal of a file that a job still reads.
func TestCreateJobAndDeleteFile(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a := c.start("a", nil)
	c.serve = func(string) response { return response{status: 200, delay: 50 * time.Millisecond} }
	file := a.upload(jsonlItems(400, chatPath))
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
			t.Errorf("%s: response %s", body, rec.Body.String())
		}
	}
	job := decode[BatchObject](t, a.postBatch(file.ID, chatPath, "k"))
	is.Equal(decode[BatchObject](t, a.postBatch(file.ID, chatPath, "k")).ID, job.ID)
	is.Equal(a.postBatch(newFileID(), chatPath, "k").Code, http.StatusConflict)
	is.Equal(a.call(testTenant, "DELETE", "/v1/files/"+file.ID, nil, nil).Code, http.StatusConflict)
	ended := c.awaitEnd(job.ID, func() *node { return a })
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
