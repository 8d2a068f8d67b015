package retry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against more retries than the budget in any sequence of requests.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now := epoch
		b.Request(now)
		requests, retries := 1, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests++
			} else if b.Take(now) {
				retries++
			}
		}
		bound := budgetBurst + budgetPart*float64(requests) + budgetRate*now.Sub(epoch).Seconds()
		if float64(retries) > bound {
			t.Fatalf("%d retries, bound %.1f", retries, bound)
		}
	})
}

// deliver sends a host's report to another through its published form.
func deliver(t *testing.T, from, to *Suspects, name string, now time.Time) {
	t.Helper()
	raw, err := json.Marshal(from.Report(now))
	if err != nil {
		t.Fatal(err)
	}
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		t.Fatal(err)
	}
	to.Merge(name, r, now)
}

// Guards against a crashing request that is not quarantined on all hosts after
// its second loss, and against a quarantine without end.
func TestSecondLossQuarantines(t *testing.T) {
	is := is.New(t)
	a, b := NewSuspects(), NewSuspects()
	now := epoch
	is.Equal(a.Lost(7, "s1", false, now), Suspect)
	deliver(t, a, b, "a", now)
	now = now.Add(10 * time.Millisecond)
	verdict, _ := b.Check(7, now)
	is.Equal(verdict, Suspect)
	is.True(b.Start(7, "s2"))
	now = now.Add(2 * time.Second)
	b.Lost(7, "s2", true, now)
	b.End(7)
	is.True(!b.MayRun(7, "s3", now)) // not again while the quarantine is confirmed
	now = now.Add(confirmAfter)
	verdict, left := b.Check(7, now)
	is.Equal(verdict, Quarantined)
	is.Equal(left, QuarantineFor)
	deliver(t, b, a, "b", now)
	verdict, _ = a.Check(7, now)
	is.Equal(verdict, Quarantined)
	verdict, _ = a.Check(7, now.Add(QuarantineFor+time.Second))
	is.Equal(verdict, Innocent)
}

// Guards against quarantine of requests that ran beside a crashing one.
func TestNeighboursAreCleared(t *testing.T) {
	is := is.New(t)
	a, b := NewSuspects(), NewSuspects()
	now := epoch
	const guilty, innocent = 1, 2
	a.Lost(guilty, "s1", false, now)
	a.Lost(innocent, "s1", false, now)
	a.Lost(innocent, "s1", false, now) // a second copy in the same loss
	deliver(t, a, b, "a", now)
	verdict, _ := a.Check(innocent, now)
	is.Equal(verdict, Suspect)
	is.True(a.Start(innocent, "s2"))
	is.True(!a.MayRun(guilty, "s2", now)) // one suspect per server
	deliver(t, a, b, "a", now)
	is.True(!b.MayRun(guilty, "s2", now))   // also over hosts
	is.True(!b.MayRun(innocent, "s3", now)) // one copy at a time
	is.True(b.MayRun(guilty, "s3", now))
	now = now.Add(time.Second)
	a.End(innocent)
	is.True(a.Succeeded(innocent, now))
	deliver(t, a, b, "a", now)
	for _, s := range []*Suspects{a, b} {
		verdict, _ = s.Check(innocent, now.Add(time.Millisecond))
		is.Equal(verdict, Innocent)
	}
}

// Guards against quarantine of an innocent suspect that two hosts' races put
// on one server together with the crashing one, and against two hosts that
// count one loss of a server twice.
func TestSharedLossIdentifiesNobody(t *testing.T) {
	is := is.New(t)
	a, b := NewSuspects(), NewSuspects()
	now := epoch
	a.Lost(1, "s1", false, now)
	a.Lost(2, "s1", false, now)
	b.Lost(2, "s1", false, now.Add(time.Millisecond)) // the same loss seen by both
	deliver(t, a, b, "a", now)
	deliver(t, b, a, "b", now)
	now = now.Add(2 * time.Second)
	verdict, _ := a.Check(2, now)
	is.Equal(verdict, Suspect)
	a.Lost(1, "s2", true, now)
	b.Lost(2, "s2", true, now) // both were on s2
	deliver(t, a, b, "a", now)
	deliver(t, b, a, "b", now)
	now = now.Add(confirmAfter)
	for _, s := range []*Suspects{a, b} {
		verdict, _ = s.Check(2, now)
		is.Equal(verdict, Suspect)
	}
	now = now.Add(2 * time.Second)
	a.Lost(1, "s3", true, now)
	verdict, _ = a.Check(1, now.Add(confirmAfter))
	is.Equal(verdict, Quarantined)
}

// Guards against suspicion that stays after only a connection was cut.
func TestSurvivingServerClearsSuspects(t *testing.T) {
	is := is.New(t)
	s := NewSuspects()
	s.Lost(1, "s1", false, epoch.Add(time.Second))
	is.True(!s.Survived("s1", epoch.Add(2*time.Second), epoch.Add(3*time.Second))) // evidence from after the loss
	is.True(!s.Survived("s1", epoch, epoch.Add(500*time.Millisecond)))             // evidence from before it
	is.True(!s.Survived("s2", epoch, epoch.Add(2*time.Second)))
	is.True(s.Survived("s1", epoch, epoch.Add(2*time.Second)))
	verdict, _ := s.Check(1, epoch.Add(time.Second))
	is.Equal(verdict, Innocent)
	is.True(!s.Known())
}

// Guards against two hosts that may start suspects on one server at the same
// time, and against a host that never may.
func TestSuspectServersAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := func(label string) []string {
			return rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{3}"), 1, 9, rapid.ID[string]).Draw(t, label)
		}
		hosts, servers := names("hosts"), names("servers")
		had := map[string]bool{}
		for step := range 2 * 9 {
			now := epoch.Add(time.Duration(step) * suspectSlice / 2)
			owner := map[string]string{}
			for _, h := range hosts {
				for _, s := range SuspectServers(h, hosts, servers, now) {
					if other, taken := owner[s]; taken {
						t.Fatalf("%s and %s share %s", h, other, s)
					}
					owner[s] = h
					had[h] = true
				}
			}
		}
		if len(had) != len(hosts) {
			t.Fatalf("only %d of %d hosts had a server", len(had), len(hosts))
		}
	})
}

// Guards against unbounded memory with many different crashing requests.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewSuspects()
	for i := range 3 * maxRecords {
		s.Lost(Fingerprint(i), "s1", false, epoch.Add(time.Duration(i)*time.Millisecond))
	}
	is.Equal(len(s.own), maxRecords)
	is.Equal(len(s.Report(epoch.Add(suspectFor+time.Hour)).Losses), 0)
}

// Guards against a second fresh answer for one record, whatever the order of
// claims, completions, withdrawals and lost claimers.
func TestOneFreshAnswerPerRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := []string{"c1", "c2", "c3"}
		r := IdempotencyRecord{State: RecordRunning, Claim: "c1", Claimer: "h1"}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			claim := rapid.SampledFrom(claims).Draw(t, "claim")
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				if got := r.Answer(claim, rapid.Bool().Draw(t, "alive")); got == ClaimFresh && claim != "c1" {
					t.Fatalf("claim %s is fresh", claim)
				}
			case 1:
				if r.Complete(claim) && claim != "c1" {
					t.Fatalf("claim %s completed", claim)
				}
			case 2:
				if r.MayAbandon(claim) && (claim != "c1" || r.State == RecordDone) {
					t.Fatalf("claim %s may be withdrawn in state %d", claim, r.State)
				}
			}
			if r.State == RecordDone && r.Answer("c1", true) != ClaimDone {
				t.Fatal("a completed request may run again")
			}
		}
	})
}

// Guards against refusing a claim that the former owner stored and could not
// answer, and against running a key twice when another claim of it is stored.
func TestLoadedRecordAnswersOnlyItsSoleClaim(t *testing.T) {
	is := is.New(t)
	rec := IdempotencyRecord{State: RecordUnknown, Claim: "a", Sole: true}
	is.Equal(rec.Answer("a", true), ClaimFresh)
	is.Equal(rec.Answer("b", true), ClaimUnknown)
	rec.Sole = false
	is.Equal(rec.Answer("a", true), ClaimUnknown)
}
