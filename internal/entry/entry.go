// Package entry assembles an entry host that runs on a shared platform: it
// tracks the configuration and the backend servers in the platform's store,
// serves online requests and batch jobs, and shuts down gracefully.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
	"ragwortstep/internal/quotas"
	"ragwortstep/internal/store"
)

// Settings of an entry host.
type Settings struct {
	Host      string // unique in the fleet, unchanged by a restart
	Zone      string // availability zone
	Size      int    // thousandths of a core
	Memory    int64  // bytes that the process may use, 0 if there is no known limit
	Sockets   int    // that the process may have open, 0 if there is no known limit
	IP        string
	Callers   string // address for callers' requests
	Readiness string // address for the load balancer's health checks
	Peers     string // address for other hosts, TCP and UDP
	Metrics   string // address of the metrics, empty for none
	Store     string // address of the platform's store
	// Grace is the time between the stop signal and the kill of the process.
	Grace time.Duration
	// KeyAge is the age of the configuration from which requests with API keys
	// are refused, because a key may have been revoked; 0 means no limit.
	KeyAge time.Duration
	// QuotaTolerance is how far a workspace may exceed its quota.
	QuotaTolerance quotas.Tolerance
	// ColdTolerance is how far requests to a cold server may exceed its rate.
	ColdTolerance ColdTolerance
	// EvacuationTime is the time within which hosts stop sending to the servers of an
	// evacuated zone; 0 if zones are not evacuated.
	EvacuationTime time.Duration
	// Readable is how long a job's results stay in the store after its
	// submission.
	Readable time.Duration
	// SecondAttempts limits second attempts to a part of the requests of each route, from
	// 0, for none, to hedge.MaxLimit.
	SecondAttempts float64
}

// ColdTolerance extends the rate of a cold server to the bound on its requests in any
// second: rate x Factor + Requests.
type ColdTolerance struct {
	Factor   float64
	Requests float64
}

// Store is the platform's durable store.
type Store = store.Store

// Collections holds the prefixes of the platform's collections in the store,
// each ending with a slash.
type Collections struct {
	Config      string
	Servers     string
	Retirements string // requests to retire machines with disks
	Evacuations string // requests to send nothing to the servers of a zone, named after it
}

// Platform is the adapter to the shared platform.
type Platform interface {
	online.Codec
	bulk.ItemCodec
	Store() Store
	Collections() Collections
	// DecodeConfig decodes the configuration. It returns nil for other objects.
	DecodeConfig(store.Object) (*routing.Snapshot, error)
	DecodeServer(store.Object) (placement.Server, error)
	// CompleteRetirement reports to the platform that a machine holds no data and
	// can be removed.
	CompleteRetirement(context.Context, store.Object) error
	// RequestID returns the id of a caller's request.
	RequestID(http.Header) string
	// Callers returns the handler of callers' requests.
	Callers(Services) http.Handler
	// Readiness returns the handler of the load balancer's health checks.
	Readiness(ready func() bool) http.Handler
}

// Services are the services used by the callers' handler.
type Services struct {
	Config online.Config
	Online *online.Service
	Jobs   *bulk.Service
}

// JobRefusal logs a failed job request and returns the response to it.
func (s Services) JobRefusal(call *online.Call, step string, err error) *online.Refusal {
	return s.Online.JobRefusal(call, step, bulk.RefusalOf(err), err)
}

// decode decodes an object of the store. A panic of the decoder is an error: other
// parties write these objects, and one of them must not end the process.
func decode[T any](decoder func(store.Object) (T, error), o store.Object) (out T, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = errors.Newf("decode %s: panic: %v", o.Key, panicked)
		}
	}()
	return decoder(o)
}
