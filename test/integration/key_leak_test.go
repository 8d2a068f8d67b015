package integration

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
)

// keyPlacement adds a key to one part of a request.
type keyPlacement func(rng *rand.Rand, r *http.Request, key string)

// keyPlacements are the places where callers and proxies put keys. A request
// may use any of them in addition to the credential that the host checks.
var keyPlacements = []keyPlacement{
	func(_ *rand.Rand, r *http.Request, key string) { r.Header.Add("Authorization", "Bearer "+key) },
	func(_ *rand.Rand, r *http.Request, key string) { r.Header.Add("authorization", "bearer  "+key) },
	func(_ *rand.Rand, r *http.Request, key string) { r.Header.Add("X-Api-Key", key) },
	func(rng *rand.Rand, r *http.Request, key string) {
		names := []string{
			"Proxy-Authorization", "X-Forwarded-Authorization", "X-Original-Authorization", "X-Auth-Token",
			"X-Access-Token", "Api-Key", "Authentication-Info",
		}
		r.Header.Add(names[rng.IntN(len(names))], "Bearer "+key)
	},
	func(_ *rand.Rand, r *http.Request, key string) {
		r.Header.Add("Proxy-Authorization", "Basic "+base64.StdEncoding.EncodeToString([]byte("caller:"+key)))
	},
	func(rng *rand.Rand, r *http.Request, key string) {
		names := []string{"X-Forwarded-Uri", "Referer", "X-Custom", "Idempotency-Key", "X-Request-Id", "User-Agent"}
		r.Header.Add(names[rng.IntN(len(names))], "/a?api_key="+encodeSome(rng, key))
	},
	func(rng *rand.Rand, r *http.Request, key string) {
		r.Header.Add("Cookie", fmt.Sprintf("theme=dark; api_key=%s; other=%s", key, encodeSome(rng, key)))
	},
	func(rng *rand.Rand, r *http.Request, key string) { addRawQuery(r, "api_key="+encodeSome(rng, key)) },
	func(rng *rand.Rand, r *http.Request, key string) { addRawQuery(r, "key="+encodeSome(rng, key)) },
	func(rng *rand.Rand, r *http.Request, key string) { addRawQuery(r, "next=%zz"+encodeSome(rng, key)) },
	func(rng *rand.Rand, r *http.Request, key string) { addRawQuery(r, encodeSome(rng, key)) },
	func(_ *rand.Rand, r *http.Request, key string) {
		r.ContentLength = -1 // trailers need a chunked body
		r.Trailer = http.Header{"X-Api-Key": {key}, "X-Checksum": {key}}
	},
}

// encodeSome percent-encodes characters of the text at random.
func encodeSome(rng *rand.Rand, text string) string {
	var out strings.Builder
	for _, c := range []byte(text) {
		if rng.IntN(3) == 0 {
			fmt.Fprintf(&out, "%%%02x", c)
			continue
		}
		out.WriteByte(c)
	}
	return out.String()
}

func addRawQuery(r *http.Request, part string) {
	r.URL.RawQuery = strings.TrimPrefix(r.URL.RawQuery+"&"+part, "&")
}

// sendWithKeys sends one request with the key in random places and returns its status.
func sendWithKeys(ctx context.Context, rng *rand.Rand, client *http.Client, target, body, key string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	for range 1 + rng.IntN(4) {
		keyPlacements[rng.IntN(len(keyPlacements))](rng, r, key)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

var percentPair = regexp.MustCompile(`%[0-9a-fA-F]{2}`)

// percentDecode decodes percent-encoding and leaves malformed pairs as they are.
func percentDecode(text string) string {
	return percentPair.ReplaceAllStringFunc(text, func(pair string) string {
		n, err := strconv.ParseUint(pair[1:], 16, 8)
		if err != nil {
			return pair
		}
		return string([]byte{byte(n)})
	})
}

// requireNoKey checks a ledger for the keys in plain, percent-encoded and
// base64 form.
func requireNoKey(t *testing.T, server string, ledger any, keys map[string]harness.Key) {
	t.Helper()
	raw, err := json.Marshal(ledger)
	if err != nil {
		t.Fatal(err)
	}
	text := percentDecode(string(raw))
	for workspace, key := range keys {
		basic := base64.StdEncoding.EncodeToString([]byte("caller:" + key.Raw))
		for form, value := range map[string]string{"plain": key.Raw, "base64": basic} {
			if at := strings.Index(text, value); at >= 0 {
				t.Errorf("%s received the key of %s (%s): ...%s...", server, workspace, form, text[max(0, at-120):at+len(value)])
			}
		}
	}
}

// Guards against a caller's key that reaches a backend server, in any place
// where the caller or a proxy may have put it.
func TestKeysNeverReachServers(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	requests := logSizeFor(t, "requests", 1200, 10000)
	ctx, d := startDeployment(t, harness.Thies, withHosts(3), withServers(1, 1), withRates(2000, 4000))
	workspace := d.Layout.Workspaces[0].Name
	key := d.Keys[workspace].Raw
	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for worker := range keySenders {
		wg.Go(func() {
			client, rng := harness.NewHTTPClient(), harness.Rand(uint64(worker))
			for n := worker; n < requests; n += keySenders {
				target, body := requestTarget(d, n)
				status, err := sendWithKeys(ctx, rng, client, target, body, key)
				if err != nil {
					t.Errorf("request %d: %v", n, err)
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("statuses: %v", statuses)
	is.True(statuses[http.StatusOK] > requests/2) // most requests reach a server
	for _, s := range d.Services {
		calls, err := s.Calls(ctx, 0)
		is.NoErr(err)
		requireNoKey(t, s.Spec.Name, calls, d.Keys)
	}
	for _, e := range d.Engines {
		records, err := e.Records(ctx, 0)
		is.NoErr(err)
		requireNoKey(t, e.Spec.Name, records, d.Keys)
	}
}

// keySenders is the number of concurrent callers.
const keySenders = 8

// requestTarget returns the URL and the body of request n. The kinds of routes
// and the hosts take turns.
func requestTarget(d *harness.Deployment, n int) (target, body string) {
	base := d.Hosts[n/4%len(d.Hosts)].DirectURL()
	completion := harness.Completion{Tag: harness.NewTag(), Tokens: 1}
	switch n % 4 {
	case 0:
		return base + d.Layout.Prefix + "x?page=1", `{"request_id":"` + harness.NewTag() + `"}`
	case 1:
		return base + d.Layout.OpenPrefix() + "x", `{"request_id":"` + harness.NewTag() + `"}`
	case 2:
		return base + d.Layout.ReadsPrefix() + url.PathEscape("a b"), "{}"
	default:
		return base + completion.Path(), string(completion.Body(d.Layout.Model))
	}
}
