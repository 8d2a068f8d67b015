package events

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

// simulateHosts simulates hosts with wrong clocks that exchange messages, and
// returns their events in the order in which they happened.
func simulateHosts(rng *rand.Rand, ahead []time.Duration, steps int) []Event {
	now := start
	recorders := make([]*Recorder, len(ahead))
	for i := range ahead {
		recorders[i] = newRecorder(fmt.Sprintf("h%d", i), nil, func() time.Time { return now.Add(ahead[i]) })
	}
	var all []Event
	for range steps {
		from, to := rng.IntN(len(ahead)), rng.IntN(len(ahead))
		all = append(all, recorders[from].Record(Event{Kind: "message.sent"}))
		seq := recorders[from].LastSeq()
		now = now.Add(time.Duration(1+rng.IntN(4)) * time.Millisecond)
		recorders[to].Observe(recorders[from].host, seq)
		all = append(all, recorders[to].Record(Event{Kind: "message.received"}))
		now = now.Add(time.Millisecond)
	}
	return all
}

// Guards against a timeline that shows an event before its cause or before an
// earlier event of the same host, or that loses or repeats events.
func TestMergeKeepsCausesBeforeEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		ahead := make([]time.Duration, rapid.IntRange(1, 6).Draw(t, "hosts"))
		for i := range ahead {
			ahead[i] = time.Duration(rng.IntN(7200)-3600) * time.Second
		}
		all := simulateHosts(rng, ahead, rapid.IntRange(0, 60).Draw(t, "steps"))
		shuffled := append([]Event(nil), all...)
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		merged := Merge(append(shuffled, all...)) // all events twice
		if len(merged.Events) != len(all) {
			t.Fatalf("%d events of %d", len(merged.Events), len(all))
		}
		place := map[eventID]int{}
		last := map[string]uint64{}
		for i, p := range merged.Events {
			place[eventID{p.Host, p.Seq}] = i
			if p.Seq <= last[p.Host] {
				t.Fatalf("host %s: event %d after %d", p.Host, p.Seq, last[p.Host])
			}
			last[p.Host] = p.Seq
			if p.CauseHost != "" {
				if cause, ok := place[eventID{p.CauseHost, p.CauseSeq}]; !ok || cause >= i {
					t.Fatalf("event %d of %s precedes its cause", p.Seq, p.Host)
				}
			}
		}
	})
}

// Guards against wrong estimates for clocks that are minutes apart: they must
// be within the message delays.
func TestMergeEstimatesClockOffsets(t *testing.T) {
	is := is.New(t)
	ahead := []time.Duration{0, 90 * time.Second, 0, -40 * time.Second, 0}
	all := simulateHosts(rand.New(rand.NewPCG(1, 2)), ahead, 400)
	for _, lane := range Merge(all).Lanes {
		var i int
		_, err := fmt.Sscanf(lane.Host, "h%d", &i)
		is.NoErr(err)
		diff := time.Duration(lane.AheadMS*float64(time.Millisecond)) - ahead[i]
		is.True(diff.Abs() <= 10*time.Millisecond) // two delays of at most 5 ms
	}
}

// Guards against correcting clocks that agree, and against shifting a host that
// exchanged no messages with the others.
func TestMergeKeepsCorrectClocks(t *testing.T) {
	is := is.New(t)
	all := simulateHosts(rand.New(rand.NewPCG(1, 2)), make([]time.Duration, 4), 100)
	all = append(all, Event{Host: "alone", Seq: 1, Time: start.Add(time.Hour)})
	for _, lane := range Merge(all).Lanes {
		is.Equal(lane.AheadMS, 0.0)
	}
}

// Guards against losing events or looping forever on a cycle of causes, which
// damaged files may contain.
func TestMergeBreaksCycles(t *testing.T) {
	is := is.New(t)
	merged := Merge([]Event{
		{Host: "a", Seq: 1, Time: start, CauseHost: "b", CauseSeq: 1},
		{Host: "b", Seq: 1, Time: start.Add(-time.Second), CauseHost: "a", CauseSeq: 1},
		{Host: "a", Seq: 2, Time: start, CauseHost: "a", CauseSeq: 2},
	})
	is.Equal(len(merged.Events), 3)
	is.Equal(len(Merge(nil).Events), 0)
}

// Guards against a restarted host that reuses its earlier sequence numbers,
// whose events would be dropped as duplicates.
func TestRestartedRecorderContinuesSequence(t *testing.T) {
	is := is.New(t)
	now := start
	clock := func() time.Time { return now }
	first := newRecorder("h1", nil, clock)
	for range 3 * ringCapacity {
		first.Record(Event{Kind: "x"})
	}
	is.True(len(first.EventsAfter(0, 1<<20)) <= 2*ringCapacity)
	now = now.Add(time.Minute)
	second := newRecorder("h1", nil, clock)
	is.True(second.LastSeq() > first.LastSeq())
	e := second.Record(Event{Kind: "y"})
	is.Equal(len(second.EventsAfter(first.LastSeq(), 10)), 1)
	is.Equal(len(second.EventsAfter(e.Seq, 10)), 0)
	second.Observe("h1", 1<<60) // a host is no cause of its own events
	is.Equal(second.Record(Event{Kind: "z"}).CauseHost, "")
	second.Observe("h2", 7)
	is.Equal(second.Record(Event{Kind: "z", CauseHost: "h3", CauseSeq: 1}).CauseHost, "h3")
	is.Equal(second.Record(Event{Kind: "z"}).CauseHost, "") // an observation applies to one event only
}

func TestFilter(t *testing.T) {
	is := is.New(t)
	p := TimelineEvent{Event: Event{Host: "h1", Peer: "h2", Kind: "config.adopted", Job: "j", Workspace: "w", Server: "s"}, Adjusted: start}
	for _, f := range []Filter{{}, {Host: "h1"}, {Host: "h2"}, {Kind: "config.*"}, {Job: "j", Workspace: "w", Server: "s"}, {From: start, To: start.Add(1)}} {
		is.True(f.Match(p))
	}
	for _, f := range []Filter{{Host: "h3"}, {Kind: "config"}, {Job: "k"}, {Workspace: "k"}, {Server: "k"}, {From: start.Add(1)}, {To: start}} {
		is.True(!f.Match(p))
	}
	is.Equal(len(Timeline{Events: []TimelineEvent{p}}.Select(Filter{Job: "none"}).Events), 0)
	at, err := ParseTime("10m", start)
	is.NoErr(err)
	is.True(at.Equal(start.Add(-10 * time.Minute)))
	_, err = ParseTime("yesterday", start)
	is.True(err != nil)
}

// Guards against event details from outside the fleet that act as markup,
// script or terminal escape codes in the outputs.
func TestOutputsEscapeDetails(t *testing.T) {
	is := is.New(t)
	merged := Merge([]Event{{Host: "h1", Seq: 1 << 51, Time: start, Kind: "server.ejected", Server: "s1", Detail: "</script><script>alert(1)</script>\x1b[31m"}})
	var text, raw, html bytes.Buffer
	is.NoErr(merged.WriteText(&text))
	is.True(strings.HasPrefix(text.String(), "2026-12-04 04:00:00.000  h1  server.ejected  server=s1"))
	is.True(!strings.Contains(text.String(), "\x1b"))
	is.NoErr(merged.WriteJSON(&raw))
	var back Timeline
	is.NoErr(json.Unmarshal(raw.Bytes(), &back))
	is.Equal(back, merged)
	is.NoErr(merged.WriteHTML(&html))
	is.Equal(strings.Count(html.String(), "<script>"), 1)
	is.True(!strings.Contains(html.String(), "</script><script>"))
	for _, external := range []string{"src=", "href=", "@import", "url("} {
		is.True(!strings.Contains(html.String(), external)) // the page loads no other file
	}
}

func TestFileSinkRotates(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "events")
	sink, err := NewFileSink(FileOptions{Folder: folder, MaxBytes: 2000, MaxFiles: 3})
	is.NoErr(err)
	r := NewRecorder("h1", sink.Record)
	for range 200 {
		r.Record(Event{Kind: "config.adopted"})
	}
	sink.Close()
	sink.Close()
	sink.Record(Event{}) // dropped after Close, without a panic
	names, err := eventFiles(folder)
	is.NoErr(err)
	is.Equal(len(names), 3)
	for _, name := range names {
		info, err := os.Stat(name)
		is.NoErr(err)
		is.True(info.Size() > 0 && info.Size() <= 2000)
	}
	read, err := ReadFolder(folder)
	is.NoErr(err)
	is.Equal(read[len(read)-1].Seq, r.LastSeq())
	for i := 1; i < len(read); i++ {
		is.Equal(read[i].Seq, read[i-1].Seq+1)
	}
}

// Guards against event files that cannot be read because a crash left the last
// line incomplete, and against ignoring any other malformed line.
func TestReadFolderSkipsIncompleteLine(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	name := filepath.Join(folder, "1"+fileSuffix)
	is.NoErr(os.WriteFile(name, []byte(`{"host":"h1","seq":1}`+"\n"+`{"host":"h1","se`), 0o600))
	read, err := ReadFolder(folder)
	is.NoErr(err)
	is.Equal(len(read), 1)
	is.NoErr(os.WriteFile(name, []byte("damage\n"+`{"host":"h1","seq":1}`+"\n"), 0o600))
	_, err = ReadFolder(folder)
	is.True(err != nil && strings.Contains(err.Error(), fileSuffix+":1"))
}

// Guards against a full or missing disk that stops or delays the host.
func TestFileSinkSurvivesDiskFaults(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "events")
	sink, err := NewFileSink(FileOptions{Folder: folder, MaxBytes: 1})
	is.NoErr(err)
	is.NoErr(os.RemoveAll(folder))
	before := fileErrors.Value()
	sink.Record(Event{Host: "h1", Seq: 1})
	sink.Close()
	is.Equal(fileErrors.Value(), before+1)
	_, err = NewFileSink(FileOptions{Folder: "/dev/null/events"})
	is.True(err != nil)
}
