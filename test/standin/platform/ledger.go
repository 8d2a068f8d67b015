package platform

import (
	"strings"
	"sync"
	"time"
)

// maxHistory bounds the write history; the oldest half is dropped when it is full.
const maxHistory = 400000

// Operations as the ledger names them.
const (
	opGet        = "get"
	opList       = "list"
	opPut        = "put"
	opDelete     = "delete"
	opWatch      = "watch"
	opWatchWait  = "watch_wait" // one for each full second that a watch waited
	opHosts      = "hosts"
	refusedLabel = "_refused"
)

// Write is one applied write.
type Write struct {
	AtMS      int64  `json:"at_ms"`
	Client    string `json:"client"`
	Op        string `json:"op"`
	Key       string `json:"key"`
	Version   int64  `json:"version"`
	IfVersion int64  `json:"if_version"`
	Size      int    `json:"size"`            // bytes of the value
	Value     []byte `json:"value,omitempty"` // only under the prefixes of Options.HistoryValues
	Lost      bool   `json:"lost,omitempty"`  // the answer was withheld
}

// Summary is the answer of GET /ledger.
type Summary struct {
	SinceMS int64                     `json:"since_ms"` // Unix time of the last reset
	NowMS   int64                     `json:"now_ms"`
	Clients map[string]map[string]int `json:"clients"` // calls by client and operation
	Totals  map[string]int            `json:"totals"`  // calls by operation
	Busiest map[string]int            `json:"busiest"` // largest count within one second, by operation
	Version int64                     `json:"version"` // of the store
}

// ledger counts calls and keeps the history of applied writes.
type ledger struct {
	values []string // prefixes whose values are kept

	mu      sync.Mutex
	since   time.Time
	clients map[string]map[string]int
	totals  map[string]int
	busiest map[string]int
	second  int64
	current map[string]int
	writes  []Write
}

func newLedger(values []string) *ledger {
	l := &ledger{values: values}
	l.reset()
	return l
}

func (l *ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = time.Now()
	l.clients = map[string]map[string]int{}
	l.totals = map[string]int{}
	l.busiest = map[string]int{}
	l.current = map[string]int{}
	l.writes = nil
}

func (l *ledger) count(client, op string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ops := l.clients[client]
	if ops == nil {
		ops = map[string]int{}
		l.clients[client] = ops
	}
	ops[op]++
	l.totals[op]++
	if sec := now.Unix(); sec != l.second {
		l.second = sec
		clear(l.current)
	}
	l.current[op]++
	l.busiest[op] = max(l.busiest[op], l.current[op])
}

func (l *ledger) write(w Write, value []byte) {
	w.Size = len(value)
	for _, prefix := range l.values {
		if strings.HasPrefix(w.Key, prefix) {
			w.Value = value
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.writes) >= maxHistory {
		l.writes = append([]Write(nil), l.writes[maxHistory/2:]...)
	}
	l.writes = append(l.writes, w)
}

func (l *ledger) summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{
		SinceMS: l.since.UnixMilli(),
		NowMS:   time.Now().UnixMilli(),
		Clients: map[string]map[string]int{},
		Totals:  copyCounts(l.totals),
		Busiest: copyCounts(l.busiest),
	}
	for name, ops := range l.clients {
		s.Clients[name] = copyCounts(ops)
	}
	return s
}

// history returns the writes to keys with the prefix, oldest first.
func (l *ledger) history(prefix string) []Write {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Write{}
	for _, w := range l.writes {
		if strings.HasPrefix(w.Key, prefix) {
			out = append(out, w)
		}
	}
	return out
}

func copyCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
