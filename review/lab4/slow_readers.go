package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowd is the number of clients at each of two hosts.
	crowd = 300
	// arrivals is the time in which they come, and come again.
	arrivals = 4 * time.Second
	// patience is how long a client stays before it comes again.
	patience = 8 * time.Second
)

// slowReaders: a crowd of clients asks for a page of results and reads it slowly.
func slowReaders(l *Lab) int {
	if err := l.start(3, 6, 3, nil); err != nil {
		l.note("cannot start: %v", err)
		return cannotRun
	}
	for _, h := range l.hosts {
		go h.guardMemory(l.stop, l.note)
	}
	body, ids := job(200)
	id := newID()
	status, _, _, err := call(context.Background(), http.MethodPost, l.hosts[0].Front(), "/pule252/"+id[:6], id, nil, body)
	l.note("batch job %s of %d items sent to %s: %d %v", id, len(ids), l.hosts[0].Name, status, err)
	if status != http.StatusAccepted {
		return cannotRun
	}
	done := 0
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && done < len(ids); time.Sleep(500 * time.Millisecond) {
		if status, p := readPage(l.hosts[0], id, done); status == http.StatusOK {
			done = p.Next
		}
	}
	l.note("%d results are listed", done)
	if done < len(ids) {
		return cannotRun
	}
	var served, failed atomic.Int64
	go l.ordinary(&served, &failed)
	time.Sleep(2 * time.Second)
	for _, h := range l.hosts {
		l.note("%s: takes %d MB before", h.Name, h.rss())
	}
	var group sync.WaitGroup
	var pages atomic.Int64
	until := time.Now().Add(45 * time.Second)
	for _, h := range l.hosts[:2] {
		for range crowd {
			group.Go(func() { l.slowReader(h, id, until, &pages) })
		}
	}
	group.Wait()
	hit := 0
	for _, h := range l.hosts {
		h.mu.Lock()
		l.note("%s: peak %d MB of %d MB, %d processes ended for their memory, %d ended otherwise by themselves", h.Name, h.Peak, h.MemoryMB, h.Over, h.Ends)
		if h.Over+h.Ends >= 3 {
			hit++
		}
		h.mu.Unlock()
	}
	l.note("pages begun: %d", pages.Load())
	l.note("ordinary requests: %d served, %d not", served.Load(), failed.Load())
	if hit >= 2 {
		return broken
	}
	return held
}

// slowReader asks for a page of results, again whenever its connection ends. With the
// disruption it reads 4 KB a second.
func (l *Lab) slowReader(h *Host, id string, until time.Time, pages *atomic.Int64) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16384)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400) // of an ordinary network; that of the loopback is 64 KB
		})
	}}
	for {
		time.Sleep(time.Duration(rand.Int64N(int64(arrivals))))
		if !time.Now().Before(until) {
			return
		}
		conn, err := dialer.Dial("tcp", h.Front())
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(conn, "GET /lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nConnection: close\r\n\r\n", id, hostName, apiKey)
		buf := make([]byte, 1024)
		n, err := conn.Read(buf)
		if err == nil && bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200 ")) {
			pages.Add(1)
		}
		if !l.trouble {
			_, err = io.Copy(io.Discard, conn)
		}
		for err == nil && l.trouble {
			time.Sleep(250 * time.Millisecond)
			_, err = conn.Read(buf)
		}
		_ = conn.Close()
	}
}

// ordinary sends ordinary requests to all hosts.
func (l *Lab) ordinary(served, failed *atomic.Int64) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			id := newID()
			status, _, raw, err := call(ctx, http.MethodPost, l.hosts[i%len(l.hosts)].Front(), "/puxa403/2f", id, map[string]string{"Deadline-Ms": "1000"}, []byte("x"))
			if err == nil && status == http.StatusOK && string(raw) == plainBody(id) {
				served.Add(1)
				return
			}
			failed.Add(1)
		}()
	}
}
