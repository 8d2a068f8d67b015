package lab3

import (
	"fmt"
	"time"
)

// MemoryMB is the memory of a front machine of remoulage-thies.
const MemoryMB = 284

// Deployment is a small deployment: a store, hosts, and servers of a model and of an
// application.
type Deployment struct {
	*Lab
	Objects *Store
	Servers []*Server
}

// Options says what a deployment has.
type Options struct {
	Hosts, Models, Apps int
	Events, EventBytes  int           // of an answer of a model
	Pace                time.Duration // of its events
}

// Start starts a deployment and waits until all hosts are ready and know each other.
func Start(record *Record, o Options) (*Deployment, error) {
	lab, err := NewLab(record)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Lab: lab}
	if d.Objects, err = NewStore(); err != nil {
		lab.Close()
		return nil, err
	}
	Configure(d.Objects, 1, Key)
	for i := range o.Models {
		d.Servers = append(d.Servers, &Server{Name: fmt.Sprint("llm-", i), Service: "llm", Slots: 8, Events: o.Events, EventBytes: o.EventBytes, Pace: o.Pace})
	}
	for i := range o.Apps {
		d.Servers = append(d.Servers, &Server{Name: fmt.Sprint("app-", i), Service: "app", Slots: 16, Pace: 15 * time.Millisecond})
	}
	for i, s := range d.Servers {
		if err := s.Start(lab.Net.Address(100, 20001+i)); err != nil {
			d.Close()
			return nil, err
		}
		s.Register(d.Objects, "ready")
	}
	for i := range o.Hosts {
		if _, err := lab.AddHost(fmt.Sprint("front-thies-nord-", i+1), "thies-nord", MemoryMB, d.Objects.Address()); err != nil {
			d.Close()
			return nil, err
		}
	}
	for _, h := range lab.Hosts {
		if err := h.AwaitReady(15 * time.Second); err != nil {
			d.Close()
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	return d, nil
}

// Close ends the deployment.
func (d *Deployment) Close() {
	d.Lab.Close()
	for _, s := range d.Servers {
		if s.server != nil {
			s.Stop()
		}
	}
	d.Objects.Close()
}

// Main runs a case in the repository's root and returns its exit code.
func Main(play func(record *Record) (int, error)) int {
	record, err := NewRecord("record.txt")
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	if err = toRoot(); err != nil {
		record.Say("the case could not run: %v", err)
		return NotRun
	}
	code, err := play(record)
	if err != nil {
		record.Say("the case could not run: %v", err)
		return NotRun
	}
	return code
}
