package dispatch

import (
	"time"

	"ragwortstep/internal/core/schedule"
)

// ServerStats is the state of a backend server as seen by this host.
type ServerStats struct {
	Available bool    `json:"available"`
	InFlight  int     `json:"in_flight"` // requests of this host
	Load      float64 `json:"load"`      // estimated requests of all hosts
	Limit     int     `json:"limit"`     // learned limit for all hosts together
	Part      int     `json:"part"`      // this host's share of the limit for online requests
	BatchPart int     `json:"batch_part"`
}

// PoolStats is the state of a pool at this host.
type PoolStats struct {
	OnlineWaiting int                    `json:"online_waiting"`
	OnlineRunning int                    `json:"online_running"`
	BatchWaiting  int                    `json:"batch_waiting"`
	BatchRunning  int                    `json:"batch_running"`
	Servers       map[string]ServerStats `json:"servers"`
}

// Stats returns the current state by pool, for the operator API.
func (d *Dispatcher) Stats() map[string]PoolStats {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]PoolStats{}
	for name, p := range d.pools {
		st := PoolStats{
			OnlineWaiting: p.queue.Len(schedule.Online),
			OnlineRunning: p.inFlight[schedule.Online],
			BatchWaiting:  p.queue.Len(schedule.Batch),
			BatchRunning:  p.inFlight[schedule.Batch],
			Servers:       map[string]ServerStats{},
		}
		for _, s := range d.bal.ServerNames(name) {
			st.Servers[s] = ServerStats{
				Available: d.bal.Available(now, s), InFlight: d.bal.InFlight(s), Load: d.bal.Load(now, s),
				Limit: d.bal.Limit(s), Part: p.slotShares[schedule.Online][s], BatchPart: p.slotShares[schedule.Batch][s],
			}
		}
		out[name] = st
	}
	return out
}
