package coop

import (
	"slices"
	"strings"
	"time"
)

// maxReported bounds the violations of one kind that are reported one by one.
const maxReported = 5

// leavingAnswers holds the answers in which a start of a server said that it is
// leaving, by host and start.
type leavingAnswers map[[2]string][]LeavingAnswer

func (l *Ledger) leavingAnswers() leavingAnswers {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := leavingAnswers{}
	for _, answer := range l.Leaving {
		key := [2]string{answer.Host, answer.Server}
		out[key] = append(out[key], answer)
	}
	return out
}

// forbid returns the answer by which the host must not have sent a request to a server
// any more, and false if there is none. The request was sent by its caller at sentAt
// and reached the server at reachedAt. A restart or a pause of the host since it
// passed on the answer excuses it.
func (l leavingAnswers) forbid(h *Host, server string, sentAt, reachedAt time.Time) (LeavingAnswer, bool) {
	for _, answer := range l[[2]string{h.Callers, server}] {
		if sentAt.Sub(answer.AnsweredAt) > drainTime && !h.Disturbed(answer.At, reachedAt) {
			return answer, true
		}
	}
	return LeavingAnswer{}, false
}

// checkLeaving checks that no request reached a server from a host that had passed on
// that the server is leaving. The host of an item is not known, so items count once
// all hosts had done so.
func (run *soakRun) checkLeaving() {
	answers := run.ledger.leavingAnswers()
	hosts := map[string]*Host{}
	for _, h := range run.fleet.Hosts {
		hosts[h.Callers] = h
	}
	late, checked := 0, 0
	for _, s := range run.allServers {
		for _, r := range s.Runs() {
			var answer LeavingAnswer
			var sentAt time.Time
			isLate := false
			if request, known := run.ledger.sent(r.ID); known {
				sentAt = request.At
				answer, isLate = answers.forbid(hosts[request.Host], r.Start, sentAt, r.At)
			} else if job := run.jobOf(r.ID); job != nil && !job.sentAt.IsZero() {
				sentAt = job.sentAt
				isLate = !slices.ContainsFunc(run.fleet.Hosts, func(h *Host) bool {
					var forbidden bool
					answer, forbidden = answers.forbid(h, r.Start, sentAt, r.At)
					return !forbidden
				})
			}
			checked++
			if !isLate {
				continue
			}
			if late++; late <= maxReported {
				run.ledger.AddFailure("%s reached %s at %s, sent %v after %s had passed on that the server is leaving",
					r.ID, r.Start, r.At.UTC().Format(time.RFC3339Nano), sentAt.Sub(answer.AnsweredAt), hosts[answer.Host].Name)
			}
		}
	}
	if late > 0 {
		run.ledger.AddFailure("%d of %d requests reached servers that had said they are leaving", late, checked)
	}
}

// jobOf returns the job of an item, or nil.
func (run *soakRun) jobOf(item string) *soakJob {
	end := strings.LastIndexByte(item, '-')
	return run.jobs[item[:max(end, 0)]]
}
