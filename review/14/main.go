// A request that crashes each server that runs it, in a fleet whose processes are all killed
// at the same moment, more than once.
package main

import (
	"net/http"
	"os"
	"slices"
	"time"

	"ragwortstep/review/lab3"
)

const (
	rounds      = 4                // each but the first one after a kill of all processes
	backAfter   = 2 * time.Second  // a server that crashed
	inTouch     = 5 * time.Second  // from the start of the hosts to the request, more than stabilityWindowMs
	betweenTime = 10 * time.Second // from one request to the next
	stability   = 3 * time.Second
	allowed     = 3 // retries that reach servers later than stability after the third crash
)

func main() { os.Exit(lab3.Main(play)) }

func play(record *lab3.Record) (int, error) {
	d, err := lab3.Start(record, lab3.Options{Hosts: 4, Models: 1, Apps: 6, Events: 4, EventBytes: 65, Pace: 5 * time.Millisecond})
	if err != nil {
		return 0, err
	}
	defer d.Close()
	for _, s := range d.Servers {
		s.OnCrash = func(s *lab3.Server) { go s.Crash(d.Objects, backAfter) }
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		if round > 0 && lab3.Trouble() {
			record.Say("all hosts are killed")
			for _, h := range d.Hosts {
				h.Kill()
			}
			time.Sleep(500 * time.Millisecond)
			for _, h := range d.Hosts {
				if err := h.AwaitReady(15 * time.Second); err != nil {
					return 0, err
				}
			}
			time.Sleep(inTouch)
		}
		send(d, record)
		time.Sleep(betweenTime)
	}
	return judge(d, record), nil
}

// send sends the request as its client does, which comes again at other hosts.
func send(d *lab3.Deployment, record *lab3.Record) {
	for _, h := range d.Hosts[:2] {
		id := lab3.NewID()
		status, _, err := lab3.Call(h.Front, http.MethodPost, "/plain/2f", id, map[string]string{"Deadline-Ms": "1000"}, []byte(lab3.CrashBody), 4*time.Second)
		record.Say("crashing request %s at %s: status %d %v", id, h.Name, status, err)
		time.Sleep(500 * time.Millisecond)
	}
}

// judge checks the rule BUDGET. All hosts are in touch when they get the request.
func judge(d *lab3.Deployment, record *lab3.Record) int {
	var at []time.Time
	for _, s := range d.Servers {
		for _, r := range s.Runs() {
			if r.Crashing {
				at = append(at, r.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	late := 0
	for i, t := range at {
		counts := i > 2 && t.Sub(at[2]) > stability
		if counts {
			late++
		}
		record.Say("crash %d, %.1f s after the first one, counts: %v", i+1, t.Sub(at[0]).Seconds(), counts)
	}
	if late > allowed {
		record.Say("BUDGET is broken: %d retries reached servers later than stabilityWindowMs after the third crash", late)
		return lab3.Broken
	}
	record.Say("the rule held")
	return lab3.Held
}
