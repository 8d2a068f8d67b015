package platform

import (
	"strings"
	"sync"
	"time"
)

// maxWrites bounds the write history, which drops its oldest half when it is full.
const maxWrites = 400000

// Operations in the ledger. Calls refused by the rate limit are counted again
// under the operation with refusedSuffix.
const (
	opGet         = "get"
	opList        = "list"
	opPut         = "put"
	opDelete      = "delete"
	opWatch       = "watch"
	opWatchWait   = "watch_wait" // counted once per second that a watch waits
	opHosts       = "hosts"
	refusedSuffix = "_refused"
)

// Write is one applied write.
type Write struct {
	AtMS         int64  `json:"at_ms"`
	Client       string `json:"client"`
	Op           string `json:"op"`
	Key          string `json:"key"`
	Version      int64  `json:"version"`
	IfVersion    int64  `json:"if_version"`
	Size         int    `json:"size"`            // bytes of the value
	Value        []byte `json:"value,omitempty"` // only under the prefixes of Options.HistoryValues
	ResponseLost bool   `json:"lost,omitempty"`  // no response was sent
}

// Summary is the response of GET /ledger.
type Summary struct {
	SinceMS       int64                     `json:"since_ms"` // Unix time of the last reset
	NowMS         int64                     `json:"now_ms"`
	Clients       map[string]map[string]int `json:"clients"` // calls by client and operation
	Totals        map[string]int            `json:"totals"`  // calls by operation
	PeakPerSecond map[string]int            `json:"busiest"` // largest number of calls within one second, by operation
	Version       int64                     `json:"version"` // of the store
}

// ledger counts calls and keeps the history of applied writes.
type ledger struct {
	valuePrefixes []string // key prefixes under which written values are kept

	mu            sync.Mutex
	resetAt       time.Time
	clients       map[string]map[string]int
	totals        map[string]int
	peaks         map[string]int
	currentSecond int64
	currentCounts map[string]int
	writes        []Write
}

func newLedger(valuePrefixes []string) *ledger {
	l := &ledger{valuePrefixes: valuePrefixes}
	l.reset()
	return l
}

func (l *ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAt = time.Now()
	l.clients = map[string]map[string]int{}
	l.totals = map[string]int{}
	l.peaks = map[string]int{}
	l.currentCounts = map[string]int{}
	l.writes = nil
}

func (l *ledger) countCall(client, op string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ops := l.clients[client]
	if ops == nil {
		ops = map[string]int{}
		l.clients[client] = ops
	}
	ops[op]++
	l.totals[op]++
	if sec := now.Unix(); sec != l.currentSecond {
		l.currentSecond = sec
		clear(l.currentCounts)
	}
	l.currentCounts[op]++
	l.peaks[op] = max(l.peaks[op], l.currentCounts[op])
}

func (l *ledger) addWrite(w Write, value []byte) {
	w.Size = len(value)
	for _, prefix := range l.valuePrefixes {
		if strings.HasPrefix(w.Key, prefix) {
			w.Value = value
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.writes) >= maxWrites {
		l.writes = append([]Write(nil), l.writes[maxWrites/2:]...)
	}
	l.writes = append(l.writes, w)
}

func (l *ledger) summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{
		SinceMS:       l.resetAt.UnixMilli(),
		NowMS:         time.Now().UnixMilli(),
		Clients:       map[string]map[string]int{},
		Totals:        copyCounts(l.totals),
		PeakPerSecond: copyCounts(l.peaks),
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
