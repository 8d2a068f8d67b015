package dispatch

import (
	"time"

	"ragwortstep/internal/core/schedule"
)

// ServerStats is the state of one backend server as this host sees it.
type ServerStats struct {
	Available bool    `json:"available"`
	InFlight  int     `json:"in_flight"` // requests of this host
	Load      float64 `json:"load"`      // estimated requests of all hosts
	Limit     int     `json:"limit"`     // learned limit over all hosts
	Part      int     `json:"part"`      // this host's online part of the limit
	BatchPart int     `json:"batch_part"`
}

// PoolStats is the state of one pool at this host.
type PoolStats struct {
	OnlineWaiting int                    `json:"online_waiting"`
	OnlineRunning int                    `json:"online_running"`
	BatchWaiting  int                    `json:"batch_waiting"`
	BatchRunning  int                    `json:"batch_running"`
	Servers       map[string]ServerStats `json:"servers"`
}

// Stats returns the present state by pool, for the operators' interface.
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
		for _, s := range d.bal.Names(name) {
			st.Servers[s] = ServerStats{
				Available: d.bal.Available(now, s), InFlight: d.bal.InFlight(s), Load: d.bal.Load(now, s),
				Limit: d.bal.Limit(s), Part: p.parts[schedule.Online][s], BatchPart: p.parts[schedule.Batch][s],
			}
		}
		out[name] = st
	}
	return out
}
