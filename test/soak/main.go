// Command soak runs a deployment under load and random faults, several of them
// at the same time and some repeated immediately, and checks the guarantees at
// the end against the ledgers of all backend servers. After a violation it also
// saves the hosts' events beside the timeline and the logs.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/test/harness"
)

// checksTimeout bounds the checks after the run, including the wait for the end
// of all jobs.
const checksTimeout = 4 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:  "soak",
		Usage: "randomised soak test with faults, on a deployment of local processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: harness.Thies, Usage: "thies or quangnam"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load and the faults"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "length of the run with load and faults"},
			&cli.StringFlag{Name: "dir", Usage: "folder for timeline and logs; out/soak-<seed> when empty"},
		},
		Action: soak,
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func soak(ctx context.Context, c *cli.Command) error {
	seed := c.Uint64("seed")
	dir := c.String("dir")
	if dir == "" {
		dir = filepath.Join("out", fmt.Sprintf("soak-%d", seed))
	}
	if err := os.RemoveAll(filepath.Join(dir, "timeline.jsonl")); err != nil {
		return errors.Wrap(err, "remove old timeline")
	}
	layout, err := harness.LayoutOf(c.String("deployment"))
	if err != nil {
		return err
	}
	bin, err := harness.PrebuiltBinaries()
	if err != nil {
		return err
	}
	d, err := harness.Start(ctx, harness.Options{
		Layout: layout, Binaries: bin, Dir: dir, Seed: seed, HostEnv: []string{"RAGWORTSTEP_INVARIANT=exit"},
	})
	if err != nil {
		return err
	}
	defer d.Close()
	tl, err := newTimeline(filepath.Join(dir, "timeline.jsonl"))
	if err != nil {
		return err
	}
	fmt.Printf("soak: seed %d, %s, %s, %d hosts; timeline in %s\n", seed, layout.Name, c.Duration("duration"), len(d.Hosts), dir)
	run(ctx, d, tl, seed, c.Duration("duration"))
	if n := tl.violationCount(); n > 0 {
		saveEvents(d, dir)
		return errors.Newf("%d violations; timeline, events and logs are in %s", n, dir)
	}
	fmt.Println("soak: ok")
	return ctx.Err()
}

// run applies load and faults together for the given time, then runs the checks.
func run(ctx context.Context, d *harness.Deployment, tl *timeline, seed uint64, length time.Duration) {
	l := newLoad(d, tl)
	jobs := &jobLoad{load: l}
	faults := newInjector(d, tl)
	during, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go faults.watchHosts(watch)
	var wg sync.WaitGroup
	for i, task := range []func(context.Context, *rand.Rand){
		l.sendCompletions, l.sendServiceCalls, l.sendLimitedCalls, l.sendCrashingPrompts, l.editRows, l.issueAndRevokeKeys, jobs.run, faults.run,
	} {
		rng := harness.Rand(seed*100 + uint64(i))
		wg.Go(func() { task(during, rng) })
	}
	wg.Wait()
	fmt.Printf("%8.2fs  load and faults ended; %s\n", time.Since(tl.begin).Seconds(), l.summary())
	runChecks(ctx, l, jobs)
}

func runChecks(ctx context.Context, l *load, jobs *jobLoad) {
	ctx, cancel := context.WithTimeout(ctx, checksTimeout)
	defer cancel()
	l.checkServing(ctx)
	l.checkEdits(ctx)
	jobs.checkJobs(ctx)
	all, err := readLedgers(ctx, l.d)
	if err != nil {
		l.tl.addViolation("ledger", "", "%v", err)
		return
	}
	l.checkCalls(all)
	l.checkRate(all)
	l.checkCrashes(all)
	l.checkSecrets(all)
	jobs.checkCancelled(all)
	l.checkInvariants(ctx)
	fmt.Printf("%8.2fs  checked %d jobs, %d calls, %d crashing prompts; %d faults\n",
		time.Since(l.tl.begin).Seconds(), len(jobs.jobs), len(l.calls.attempts), len(l.crashTags()), l.tl.faultCount())
}

// saveEvents saves the events of each host to a file in dir, beside the timeline.
func saveEvents(d *harness.Deployment, dir string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i, h := range d.Hosts {
		raw, err := d.Operator(i).Events(ctx, 0)
		if err != nil {
			continue
		}
		_ = os.WriteFile(filepath.Join(dir, h.Name+"-events.json"), raw, 0o644)
	}
}
