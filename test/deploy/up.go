package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/test/harness"
)

// summary is the JSON line that "deploy up" prints when the deployment is ready.
type summary struct {
	Deployment  string                 `json:"deployment"`
	Dir         string                 `json:"dir"`
	OperatorKey string                 `json:"operator_key"`
	Model       string                 `json:"model"`
	Hosts       []hostSummary          `json:"hosts"`
	Servers     []serverSummary        `json:"servers"`
	Platform    controlSummary         `json:"platform"`
	Relay       controlSummary         `json:"relay"`
	Keys        map[string]harness.Key `json:"keys"` // by workspace
}

type hostSummary struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	PID      int    `json:"pid"`
	Callers  string `json:"callers"` // URL through the relay
	Direct   string `json:"direct"`  // URL without the relay
	Operator string `json:"operator"`
	Metrics  string `json:"metrics"`
}

type serverSummary struct {
	Name   string `json:"name"`
	Kind   string `json:"kind"` // engine or service
	PID    int    `json:"pid"`
	URL    string `json:"url"`
	Ledger string `json:"ledger"`
	Fault  string `json:"fault"`
}

type controlSummary struct {
	PID    int    `json:"pid"`
	URL    string `json:"url"`
	Ledger string `json:"ledger"`
	Fault  string `json:"fault"`
}

// up runs a deployment until ctx ends, which a signal causes.
func up(ctx context.Context, c *cli.Command) error {
	opts, err := options(c)
	if err != nil {
		return err
	}
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer d.Close()
	line, err := json.Marshal(summarize(d))
	if err != nil {
		return errors.Wrap(err, "encode summary")
	}
	fmt.Println(string(line))
	<-ctx.Done()
	return nil
}

func summarize(d *harness.Deployment) summary {
	s := summary{
		Deployment: d.Layout.Name, Dir: d.Dir, OperatorKey: harness.OperatorKey, Model: d.Layout.Model,
		Platform: summarizeControl(d.Platform.PID(), d.Platform.URL),
		Relay:    summarizeControl(d.Relay.PID(), d.Relay.URL),
		Keys:     d.Keys,
	}
	for _, h := range d.Hosts {
		s.Hosts = append(s.Hosts, hostSummary{
			Name: h.Name, Zone: h.Spec.Zone, PID: h.PID(), Callers: h.CallersURL(), Direct: h.DirectURL(),
			Operator: h.AdminURL(), Metrics: h.MetricsURL(),
		})
	}
	for _, e := range d.Engines {
		s.Servers = append(s.Servers, summarizeServer(e.Name, "engine", e.PID(), e.RelayAddress, e.URL))
	}
	for _, v := range d.Services {
		s.Servers = append(s.Servers, summarizeServer(v.Name, "service", v.PID(), v.RelayAddress, v.URL))
	}
	return s
}

func summarizeControl(pid int, url string) controlSummary {
	return controlSummary{PID: pid, URL: url, Ledger: url + "/ledger", Fault: url + "/fault"}
}

func summarizeServer(name, kind string, pid int, via, control string) serverSummary {
	return serverSummary{
		Name: name, Kind: kind, PID: pid, URL: "http://" + via, Ledger: control + "/ledger", Fault: control + "/fault",
	}
}
