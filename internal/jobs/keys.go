package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/google/uuid"
)

// Prefixes of the keys in the platform.
const (
	prefixFileIndex = "fileindex/" // <workspace hash>/<inverted time>-<file id>
	prefixJobIndex  = "jobindex/"  // <workspace hash>/<inverted time>-<job id>
	prefixActive    = "jobactive/" // <job id>: unfinished jobs
	prefixCreating  = "jobnew/"    // <job id>: jobs being created, for index repair
)

// Prefixes of public ids.
const (
	fileIDPrefix   = "file-"
	outputIDPrefix = "file-output_"
	errorIDPrefix  = "file-error_"
	jobIDPrefix    = "batch_"
)

// idPattern matches only ids that are safe inside a platform key.
var idPattern = regexp.MustCompile(`^(file-|file-output_|file-error_|batch_)[0-9a-f]{32}$`)

func fileMetaKey(id string) string        { return "files/" + id + "/meta" }
func filePartKey(id string, n int) string { return fmt.Sprintf("files/%s/part/%06d", id, n) }
func manifestKey(id string) string        { return "jobs/" + id + "/manifest" }
func chunkPrefix(id string) string        { return "jobs/" + id + "/chunk/" }
func chunkKey(id string, n int) string    { return fmt.Sprintf("jobs/%s/chunk/%06d", id, n) }
func activeKey(id string) string          { return prefixActive + id }
func creatingKey(id string) string        { return prefixCreating + id }

func segmentKey(id string, chunk int, epoch uint64, number int) string {
	return fmt.Sprintf("jobs/%s/seg/%06d-%d-%d", id, chunk, epoch, number)
}

// workspaceHash stands for a workspace in keys, because workspace names may
// contain any character.
func workspaceHash(workspace string) string {
	sum := sha256.Sum256([]byte(workspace))
	return hex.EncodeToString(sum[:8])
}

// indexKey sorts the newest object of a workspace first, as listings return it.
func indexKey(prefix, workspace string, createdMS int64, id string) string {
	return fmt.Sprintf("%s%s/%016x-%s", prefix, workspaceHash(workspace), math.MaxInt64-createdMS, id)
}

func indexPrefix(prefix, workspace string) string {
	return prefix + workspaceHash(workspace) + "/"
}

func randomHex() string { return strings.ReplaceAll(uuid.NewString(), "-", "") }

func newFileID() string { return fileIDPrefix + randomHex() }

// jobID derives a job's id from workspace and idempotency key, so that a
// repeated request finds the existing job. Without a key the id is random.
func jobID(workspace, idempotencyKey string) string {
	if idempotencyKey == "" {
		return jobIDPrefix + randomHex()
	}
	sum := sha256.Sum256([]byte("batch\x00" + workspace + "\x00" + idempotencyKey))
	return jobIDPrefix + hex.EncodeToString(sum[:16])
}

func outputFileID(jobID string) string {
	return outputIDPrefix + strings.TrimPrefix(jobID, jobIDPrefix)
}

func errorFileID(jobID string) string { return errorIDPrefix + strings.TrimPrefix(jobID, jobIDPrefix) }

// resultFileJob returns the job whose output or error file has the id. ok is
// false for the id of an uploaded file.
func resultFileJob(fileID string) (job string, errorLines, ok bool) {
	if rest, found := strings.CutPrefix(fileID, outputIDPrefix); found {
		return jobIDPrefix + rest, false, true
	}
	if rest, found := strings.CutPrefix(fileID, errorIDPrefix); found {
		return jobIDPrefix + rest, true, true
	}
	return "", false, false
}
