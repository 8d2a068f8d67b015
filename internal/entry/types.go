// Package entry assembles an entry host that runs on a shared platform: it
// follows the configuration and the backend servers in the platform's store,
// serves online requests and bulk jobs, and shuts down without cutting any.
package entry

import (
	"context"
	"net/http"
	"time"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
	"ragwortstep/internal/quotas"
	"ragwortstep/internal/store"
)

// Settings of an entry host.
type Settings struct {
	Host      string // unique in the fleet, the same after a restart
	Zone      string // availability zone
	Size      int    // thousandths of a core
	IP        string
	Callers   string // address for callers' requests
	Readiness string // address for the balancer's question
	Peers     string // address for other hosts, TCP and UDP
	Metrics   string // address of the metrics, empty for none
	Store     string // address of the platform's store
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// KeyAge is the age of the configuration from which requests with keys are
	// refused, 0 for no bound.
	KeyAge time.Duration
	// QuotaTolerance is what the platform allows above a workspace's quota.
	QuotaTolerance quotas.Tolerance
	// Readable is how long a job's results stay in the store after its
	// submission.
	Readable time.Duration
}

// Store is the platform's durable store.
type Store = store.Store

// Collections names the platform's collections in the store, each with a
// slash at its end.
type Collections struct {
	Config      string
	Servers     string
	Retirements string // machines with disks that are to be emptied
}

// Platform translates between the platform and the product.
type Platform interface {
	online.Codec
	bulk.ItemCodec
	Store() Store
	Collections() Collections
	// DecodeConfig decodes the configuration; nil for other objects.
	DecodeConfig(store.Object) (*routing.Snapshot, error)
	DecodeServer(store.Object) (placement.Server, error)
	// CompleteRetirement tells the platform that a machine is empty.
	CompleteRetirement(context.Context, store.Object) error
	// Callers serves callers' requests.
	Callers(Services) http.Handler
	// Readiness serves the balancer's question.
	Readiness(ready func() bool) http.Handler
}

// Services is what the callers' handler calls.
type Services struct {
	Config online.Config
	Online *online.Service
	Jobs   *bulk.Service
}

// JobRefusal logs a call on a job that failed and returns the answer to it.
func (s Services) JobRefusal(call *online.Call, step string, err error) *online.Refusal {
	return s.Online.JobRefusal(call, step, bulk.RefusalOf(err), err)
}
