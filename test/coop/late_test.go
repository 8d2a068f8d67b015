package coop

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// lateAnswerTime is what the servers of the test need for an answer.
	lateAnswerTime = 1500 * time.Millisecond
	// headTime is how long after SIGTERM the first half of a request arrives: the host
	// does not close connections yet.
	headTime = 2400 * time.Millisecond
	// firstEnd and lastEnd are when the last bytes arrive.
	firstEnd = 3100 * time.Millisecond
	lastEnd  = 5200 * time.Millisecond
	// maxRefusalTime bounds the time until a refusal.
	maxRefusalTime = 500 * time.Millisecond
)

// Requests whose last byte came late in the grace period of a planned stop were passed on,
// and cut or answered by 504 at its end. Each must be answered whole, or refused at once
// without reaching a server.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	const callers = 48
	is := is.New(t)
	run := newSoakRun(t, 14)
	run.silence = func(_ string, part int64) time.Duration {
		if part > 1 { // behind the first part of an answer
			return 0
		}
		return lateAnswerTime
	}
	for _, s := range run.servers {
		run.store.Remove("servers", s.Name)
	}
	for n := range 8 {
		run.addServer(fmt.Sprint("slow-llm-", n), "llm", time.Millisecond)
		run.addServer(fmt.Sprint("slow-app-", n), "app", 0)
	}
	time.Sleep(time.Second) // until the hosts have the servers
	leaving := run.fleet.Hosts[0]
	routes := []string{"plain", "once", "stream", "resume"}
	var mu sync.Mutex
	counts := map[int]int{}
	call := func(n int, ready *sync.WaitGroup, stopped <-chan struct{}) error {
		client := NewClient(run.ledger)
		conn, err := net.Dial("tcp", leaving.Callers)
		if err != nil {
			ready.Done()
			return err
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		route := routes[n%len(routes)]
		first, err := requestBytes(client, leaving, route, fmt.Sprint("first-", n))
		if err == nil {
			_, err = conn.Write(first)
		}
		if err == nil {
			_, err = receiveStatus(client, reader, route, fmt.Sprint("first-", n))
		}
		ready.Done()
		if err != nil {
			return err
		}
		<-stopped
		id := fmt.Sprint("late-", n)
		text, err := requestBytes(client, leaving, route, id)
		if err != nil {
			return err
		}
		time.Sleep(time.Until(leaving.StoppedAt().Add(headTime)))
		if _, err := conn.Write(text[:len(text)-4]); err != nil {
			return err
		}
		time.Sleep(time.Until(leaving.StoppedAt().Add(firstEnd + time.Duration(n)*(lastEnd-firstEnd)/callers)))
		if _, err := conn.Write(text[len(text)-4:]); err != nil {
			return err
		}
		sentAt := time.Now()
		status, err := receiveStatus(client, reader, route, id)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		counts[status]++
		if status == http.StatusServiceUnavailable && time.Since(sentAt) > maxRefusalTime {
			run.ledger.AddFailure("%s %s was refused after %v", route, id, time.Since(sentAt))
		}
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			run.ledger.AddFailure("%s %s got status %d after %v", route, id, status, time.Since(sentAt))
		}
		return nil
	}
	var ready, group sync.WaitGroup
	stopped := make(chan struct{})
	for n := range callers {
		ready.Add(1)
		group.Go(func() {
			if err := call(n, &ready, stopped); err != nil {
				run.ledger.AddFailure("caller %d got no answer: %v", n, err)
			}
		})
	}
	ready.Wait()
	leaving.Signal(syscall.SIGTERM)
	close(stopped)
	group.Wait()
	is.NoErr(leaving.Wait()) // it ended with status 0
	is.NoErr(leaving.Start())
	run.checkRuns()
	for _, s := range run.allServers {
		for _, r := range s.Runs() {
			if run.ledger.Answers[r.ID] == http.StatusServiceUnavailable {
				run.ledger.AddFailure("%s was refused and reached %s", r.ID, s.Name)
			}
		}
	}
	t.Logf("answers by status: %v", counts)
	is.Equal(run.ledger.Failures, nil)
	is.True(counts[http.StatusOK] > 0)
	is.True(counts[http.StatusServiceUnavailable] > 0)
}

// requestBytes returns a request as it is sent.
func requestBytes(client *Client, h *Host, route, id string) ([]byte, error) {
	r, err := client.newCall(h.Callers, route, id, callerKey, sharedPart)
	if err != nil {
		return nil, err
	}
	client.Ledger.recordSent(h.Callers, route, id)
	var text bytes.Buffer
	err = r.Write(&text)
	return text.Bytes(), err
}

// receiveStatus receives a whole answer.
func receiveStatus(client *Client, reader *bufio.Reader, route, id string) (int, error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	if !client.receive(route, id, resp) {
		return 0, fmt.Errorf("answer %d is cut", resp.StatusCode)
	}
	return resp.StatusCode, nil
}
