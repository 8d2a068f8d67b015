package harness

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/settings"
)

func startStandins(t *testing.T) *Deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bin, err := BuildBinaries(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	layout, err := LayoutOf(Thies)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Start(ctx, Options{Layout: layout, Binaries: bin, Dir: t.TempDir(), Seed: 1, NoHosts: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// Guards against a deployment whose stand-ins cannot be reached over the
// relay, whose faults do not work, or whose processes outlive it.
func TestStandinFaultsAndProcessCleanup(t *testing.T) {
	is := is.New(t)
	d := startStandins(t)
	ctx := context.Background()
	engine := d.Engines[0]
	caller := NewCaller("http://"+engine.RelayAddress, "", d.Layout.Model)
	a := caller.Complete(ctx, Completion{Tokens: 3, Stream: true, Chat: true})
	is.Equal(a.Verdict, Complete)
	is.Equal(a.Tokens, 3)
	is.True(a.FirstToken >= 2*d.Layout.ServerDelay())

	is.NoErr(d.Relay.Truncate(ctx, ServerLink(engine.Spec.Name), 400))
	is.Equal(caller.Complete(ctx, Completion{Tokens: 20, Stream: true}).Verdict, Broken)
	is.NoErr(d.Relay.ClearFaults(ctx))

	is.NoErr(engine.Kill())
	is.Equal(caller.Complete(ctx, Completion{Tokens: 3}).Verdict, Broken)
	is.NoErr(engine.Start())
	is.NoErr(awaitStatus(ctx, "http://"+engine.RelayAddress+"/load", engine.Exited()))
	is.Equal(caller.Complete(ctx, Completion{Tokens: 3}).Verdict, Complete)
	records, err := engine.Records(ctx, 0)
	is.NoErr(err)
	is.Equal(len(records), 1)

	all := d.Processes()
	is.NoErr(all[0].Pause())
	d.Close()
	for _, p := range all {
		is.True(!p.Running())
		is.Equal(syscall.Kill(p.PID(), 0), syscall.ESRCH)
	}
}

// Guards against wrong answers that the caller client accepts.
func TestCallerDetectsWrongAnswers(t *testing.T) {
	is := is.New(t)
	want := Completion{Tag: "a", Tokens: 3}
	for got, verdict := range map[string]Verdict{
		"a.0 a.1 a.2 ": Complete, "a.0 a.1 ": Short, "": Short, "b.0 b.1 b.2 ": Crossed, "a.0 a.2 a.1 ": Crossed, "a.0 a.1 a.2 a.3 ": Crossed,
	} {
		var a Answer
		a.classify(got, want.expectedText())
		is.Equal(a.Verdict, verdict)
	}
	for stream, ok := range map[string]bool{
		"data: {\"choices\":[{\"text\":\"a.0 \"}]}\n\ndata: [DONE]\n\n":        true,
		"data: {\"choices\":[{\"text\":\"a.0 \"}]}\n\n":                        false,
		"data: {\"error\":{\"message\":\"x\"}}\n\ndata: [DONE]\n\n":            false,
		"data: [DONE]\n\ndata: {\"choices\":[{\"text\":\"late\"}]}\n\n":        false,
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE": false,
	} {
		var a Answer
		_, err := a.readStream(strings.NewReader(stream), time.Now())
		is.Equal(err == nil, ok)
	}
}

// Guards against settings files with empty fields or durations without a unit.
func TestSettingsFileHasOnlyChangedFields(t *testing.T) {
	is := is.New(t)
	s := settings.Default()
	s.Host.Name = "host-01"
	s.Peers.HeartbeatInterval = 250 * time.Millisecond
	s.Balance.Preempt = false
	path := filepath.Join(t.TempDir(), "s.yaml")
	is.NoErr(writeSettings(path, s))
	raw, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(raw), "host:\n  name: host-01\npeers:\n  heartbeat: 250ms\nbalance:\n  preempt: false\n")
}
