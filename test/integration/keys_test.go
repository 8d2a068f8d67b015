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
	// keyBound is the bound for a revoked key to be refused, and a new key to
	// work, on every host.
	keyBound = 5 * time.Second
	// keyPoll is the time between two tries of a key at one host.
	keyPoll = 50 * time.Millisecond
	// cutHost is the host without a link to the platform.
	cutHost = 3
)

// tryKey calls with the key at each host over kept connections until the
// time, and passes each answer on with the time at which the call was sent.
func tryKey(ctx context.Context, d *harness.Deployment, callers []*harness.Caller, until time.Time, seen *outcomes) {
	var wg sync.WaitGroup
	for host, caller := range callers {
		wg.Go(func() {
			for time.Now().Before(until) {
				sent := time.Now()
				a := caller.Call(ctx, "GET", d.Layout.ReadsPrefix()+"k", harness.NewTag(), "")
				seen.add(outcome{Answer: a, Sent: sent, Host: host})
				time.Sleep(keyPoll)
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

// cutFromPlatform ends the host's connections to the platform and refuses new ones.
func cutFromPlatform(ctx context.Context, d *harness.Deployment, host int) error {
	link := harness.PlatformLink(d.Hosts[host].Name)
	if err := d.Relay.Refuse(ctx, link, true); err != nil {
		return err
	}
	return d.Relay.Cut(ctx, link)
}

// Guards against a host that accepts a revoked key later than 5 s, or does not
// know a new one by then: over open connections, in long streams, and on a
// host without a link to the platform.
func TestKeysChangeOnEveryHostWithinTheBound(t *testing.T) {
	parallel(t)
	is := is.New(t)
	rounds := sized(t, "rounds", 2, 10)
	ctx, d := start(t, harness.Thies, withHosts(4), withServers(2, 1))
	is.NoErr(cutFromPlatform(ctx, d, cutHost))
	workspace := d.Layout.Workspaces[0].Name
	for round := range rounds {
		op := d.Operator(round % cutHost)
		key, err := op.CreateKey(ctx, workspace, 0)
		is.NoErr(err)
		issued := time.Now()
		callers := keyCallers(d, key)
		var given outcomes
		tryKey(ctx, d, callers, issued.Add(keyBound+time.Second), &given)
		requireAccepted(t, d, &given, issued)

		streams := startStreams(ctx, callers)
		_, err = op.RevokeKey(ctx, key.ID, 0)
		is.NoErr(err)
		revoked := time.Now()
		var refused outcomes
		tryKey(ctx, d, callers, revoked.Add(keyBound+time.Second), &refused)
		requireRefused(t, d, &refused, revoked)
		requireEnded(t, streams, revoked)
	}
}

// requireAccepted checks each host's answers from keyBound after the issue on.
func requireAccepted(t *testing.T, d *harness.Deployment, seen *outcomes, issued time.Time) {
	t.Helper()
	for host, h := range d.Hosts {
		list := seen.where(func(o outcome) bool { return o.Host == host })
		last := time.Duration(0)
		for _, o := range list {
			if o.Verdict != harness.Complete {
				last = o.Sent.Sub(issued)
			}
		}
		t.Logf("%s: new key refused last %s after it was issued (%d calls)", h.Name, last, len(list))
		if len(list) == 0 || last > keyBound {
			t.Errorf("%s does not accept the key %s after it was issued", h.Name, last)
		}
	}
}

// requireRefused checks that no call that was sent later than keyBound after
// the acknowledged revocation was accepted.
func requireRefused(t *testing.T, d *harness.Deployment, seen *outcomes, revoked time.Time) {
	t.Helper()
	for host, h := range d.Hosts {
		list := seen.where(func(o outcome) bool { return o.Host == host })
		last, unauthorized := time.Duration(0), 0
		for _, o := range list {
			if o.Verdict == harness.Complete {
				last = o.Sent.Sub(revoked)
			}
			if o.Status == 401 {
				unauthorized++
			}
		}
		t.Logf("%s: revoked key accepted last %s after the revocation", h.Name, last)
		if last > keyBound || unauthorized == 0 {
			t.Errorf("%s accepts the key %s after its revocation, %d of %d calls were refused with 401", h.Name, last, unauthorized, len(list))
		}
	}
}

// stream is a running stream; end is set when it has ended.
type stream struct {
	answer harness.Answer
	end    time.Time
	done   chan struct{}
}

// longTokens is a stream that lasts longer than keyBound on the fastest engine, at 10 ms a token.
const longTokens = 1500

func startStreams(ctx context.Context, callers []*harness.Caller) []*stream {
	var out []*stream
	for _, caller := range callers {
		s := &stream{done: make(chan struct{})}
		out = append(out, s)
		go func() {
			defer close(s.done)
			s.answer = caller.Complete(ctx, harness.Completion{Tokens: longTokens, Stream: true})
			s.end = time.Now()
		}()
	}
	time.Sleep(500 * time.Millisecond) // the first tokens arrive
	return out
}

func requireEnded(t *testing.T, streams []*stream, revoked time.Time) {
	t.Helper()
	for i, s := range streams {
		select {
		case <-s.done:
		default:
			t.Errorf("stream %d runs %s after the revocation of its key", i, time.Since(revoked))
			continue
		}
		t.Logf("stream %d ended %s after the revocation: %s", i, s.end.Sub(revoked), s.answer.Detail)
		if s.answer.Verdict != harness.Broken || s.answer.FirstToken == 0 || s.end.Sub(revoked) > keyBound {
			t.Errorf("stream %d: want an error event within %s: %s", i, keyBound, fmt.Sprintf("%+v", s.answer))
		}
	}
}
