package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
)

const (
	// keyChangeBound bounds the time until every host refuses a revoked key or
	// accepts a new one.
	keyChangeBound = 5 * time.Second
	// keyCallInterval is the time between two calls at one host.
	keyCallInterval     = 50 * time.Millisecond
	hostWithoutPlatform = 3
)

// callWithKey sends calls with the key to each host over persistent connections
// until the time, and records each answer with the time at which the call was sent.
func callWithKey(ctx context.Context, d *harness.Deployment, callers []*harness.Caller, until time.Time, seen *outcomes) {
	var wg sync.WaitGroup
	for host, caller := range callers {
		wg.Go(func() {
			for time.Now().Before(until) {
				sent := time.Now()
				a := caller.Call(ctx, "GET", d.Layout.ReadsPrefix()+"k", harness.NewTag(), "")
				seen.add(outcome{Answer: a, Sent: sent, Host: host})
				time.Sleep(keyCallInterval)
			}
		})
	}
	wg.Wait()
}

func keyCallers(d *harness.Deployment, key harness.Key) []*harness.Caller {
	var out []*harness.Caller
	for i, h := range d.Hosts {
		caller := harness.NewCaller(h.CallersURL(), key.Raw, d.Layout.Model)
		caller.Carrier = harness.KeyCarrier(i)
		out = append(out, caller)
	}
	return out
}

// cutFromPlatform resets the host's connections to the platform and refuses new ones.
func cutFromPlatform(ctx context.Context, d *harness.Deployment, host int) error {
	link := harness.PlatformLink(d.Hosts[host].Name)
	if err := d.Relay.Refuse(ctx, link, true); err != nil {
		return err
	}
	return d.Relay.Cut(ctx, link)
}

// Guards against a host that still accepts a revoked key, or does not accept a
// new one, after 5 s: over open connections, in long streams, and on a host
// without a connection to the platform.
func TestKeyChangesReachEveryHostInTime(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	rounds := logSizeFor(t, "rounds", 2, 10)
	ctx, d := startDeployment(t, harness.Thies, withHosts(4), withServers(2, 1))
	is.NoErr(cutFromPlatform(ctx, d, hostWithoutPlatform))
	workspace := d.Layout.Workspaces[0].Name
	for round := range rounds {
		op := d.Operator(round % hostWithoutPlatform)
		key, err := op.CreateKey(ctx, workspace, 0)
		is.NoErr(err)
		issued := time.Now()
		callers := keyCallers(d, key)
		var given outcomes
		callWithKey(ctx, d, callers, issued.Add(keyChangeBound+time.Second), &given)
		requireKeyAccepted(t, d, &given, issued)

		streams := startStreams(ctx, callers)
		_, err = op.RevokeKey(ctx, key.ID, 0)
		is.NoErr(err)
		revoked := time.Now()
		var refused outcomes
		callWithKey(ctx, d, callers, revoked.Add(keyChangeBound+time.Second), &refused)
		requireKeyRefused(t, d, &refused, revoked)
		requireStreamsEnded(t, streams, revoked)
	}
}

// requireKeyAccepted checks that no host refused the key later than
// keyChangeBound after its creation.
func requireKeyAccepted(t *testing.T, d *harness.Deployment, seen *outcomes, issued time.Time) {
	t.Helper()
	for host, h := range d.Hosts {
		list := seen.filter(func(o outcome) bool { return o.Host == host })
		last := time.Duration(0)
		for _, o := range list {
			if o.Verdict != harness.Complete {
				last = o.Sent.Sub(issued)
			}
		}
		t.Logf("%s: last refusal of the new key was %s after it was issued (%d calls)", h.Name, last, len(list))
		if len(list) == 0 || last > keyChangeBound {
			t.Errorf("%s does not accept the key %s after it was issued", h.Name, last)
		}
	}
}

// requireKeyRefused checks that no call that was sent later than keyChangeBound after
// the acknowledged revocation was accepted.
func requireKeyRefused(t *testing.T, d *harness.Deployment, seen *outcomes, revoked time.Time) {
	t.Helper()
	for host, h := range d.Hosts {
		list := seen.filter(func(o outcome) bool { return o.Host == host })
		last, unauthorized := time.Duration(0), 0
		for _, o := range list {
			if o.Verdict == harness.Complete {
				last = o.Sent.Sub(revoked)
			}
			if o.Status == 401 {
				unauthorized++
			}
		}
		t.Logf("%s: last call accepted with the revoked key was %s after the revocation", h.Name, last)
		if last > keyChangeBound || unauthorized == 0 {
			t.Errorf("%s accepts the key %s after its revocation, %d of %d calls were refused with 401", h.Name, last, unauthorized, len(list))
		}
	}
}

// stream is a running stream; answer and end are set when done is closed.
type stream struct {
	answer harness.Answer
	end    time.Time
	done   chan struct{}
}

// longStreamTokens makes a stream last longer than keyChangeBound on the
// fastest engine, at 10 ms per token.
const longStreamTokens = 1500

func startStreams(ctx context.Context, callers []*harness.Caller) []*stream {
	var out []*stream
	for _, caller := range callers {
		s := &stream{done: make(chan struct{})}
		out = append(out, s)
		go func() {
			defer close(s.done)
			s.answer = caller.Complete(ctx, harness.Completion{Tokens: longStreamTokens, Stream: true})
			s.end = time.Now()
		}()
	}
	time.Sleep(500 * time.Millisecond) // for the first tokens to arrive
	return out
}

func requireStreamsEnded(t *testing.T, streams []*stream, revoked time.Time) {
	t.Helper()
	for i, s := range streams {
		select {
		case <-s.done:
		default:
			t.Errorf("stream %d still runs %s after the revocation of its key", i, time.Since(revoked))
			continue
		}
		t.Logf("stream %d ended %s after the revocation: %s", i, s.end.Sub(revoked), s.answer.Detail)
		if s.answer.Verdict != harness.Broken || s.answer.FirstToken == 0 || s.end.Sub(revoked) > keyChangeBound {
			t.Errorf("stream %d: want an error event within %s: %s", i, keyChangeBound, fmt.Sprintf("%+v", s.answer))
		}
	}
}
