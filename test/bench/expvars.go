package main

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/harness"
)

// expvars is the subset of a host's expvar variables that the reports use.
type expvars struct {
	Peer struct {
		Sent     int64 `json:"bytes_sent"`
		Received int64 `json:"bytes_received"`
		Calls    int64 `json:"calls"`
	} `json:"peer"`
	Memory struct {
		HeapInuse uint64
	} `json:"memstats"`
	Violations map[string]int64 `json:"invariant_violations"`
}

func readExpvars(ctx context.Context, h *harness.Host) (expvars, error) {
	var v expvars
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.MetricsURL(), nil)
	if err != nil {
		return v, errors.Wrapf(err, "read expvar of host %s", h.Name)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, errors.Wrapf(err, "read expvar of host %s", h.Name)
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v, errors.Wrapf(err, "read expvar of host %s", h.Name)
}
