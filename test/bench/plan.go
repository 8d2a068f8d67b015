package main

import (
	"math/rand/v2"
	"strings"
	"time"

	"ragwortstep/test/harness"
)

const (
	// Lengths of answers, in tokens. Every request asks for maxAnswerTokens and
	// mostly gets a shorter answer, as real callers do, so that the hosts have
	// to correct their estimates of the work afterwards.
	minAnswerTokens  = 8
	meanAnswerTokens = 24
	maxAnswerTokens  = 96
	// sharedPromptChars is the length of the prompt prefix that all requests
	// of a workspace share, about 100 tokens.
	sharedPromptChars = 400
	// streamedFraction is the fraction of completions that are streamed.
	streamedFraction = 0.5
)

// plannedRequest is one request of an open-loop run.
type plannedRequest struct {
	At        time.Duration // intended send time, from the start of the run
	Workspace int
	Host      int
	Tokens    int // length of the answer
	Stream    bool
}

// rateProfile returns the arrival rate in requests/s at a time of the run.
type rateProfile func(at time.Duration) float64

func steady(rate float64) rateProfile { return func(time.Duration) float64 { return rate } }

// bursts alternates between the rates low and high, each for half of the period.
func bursts(low, high float64, period time.Duration) rateProfile {
	return func(at time.Duration) float64 {
		if at%period < period/2 {
			return low
		}
		return high
	}
}

// arrivals draws the arrival times of a Poisson process whose rate follows the
// profile, by thinning. peak must be at least the largest rate of the profile.
func arrivals(rng *rand.Rand, p rateProfile, peak float64, length time.Duration) []time.Duration {
	var out []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= length {
			return out
		}
		if rng.Float64()*peak < p(at) {
			out = append(out, at)
		}
	}
}

// answerLength draws a length in tokens between minAnswerTokens and
// maxAnswerTokens. Its mean is slightly below meanAnswerTokens, because lengths
// are rounded down and cut off at the maximum.
func answerLength(rng *rand.Rand) int {
	return min(maxAnswerTokens, minAnswerTokens+int(rng.ExpFloat64()*(meanAnswerTokens-minAnswerTokens)))
}

// weightedIndex draws an index with a probability proportional to its weight.
func weightedIndex(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := rng.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// mixedPlan draws requests of all workspaces in proportion to their weights,
// spread evenly over all hosts.
func mixedPlan(rng *rand.Rand, p rateProfile, peak float64, length time.Duration, weights []float64, hosts int) []plannedRequest {
	var out []plannedRequest
	for _, at := range arrivals(rng, p, peak, length) {
		out = append(out, plannedRequest{
			At: at, Workspace: weightedIndex(rng, weights), Host: rng.IntN(hosts),
			Tokens: answerLength(rng), Stream: rng.Float64() < streamedFraction,
		})
	}
	return out
}

// completion returns the completion to send for the planned request.
func (s plannedRequest) completion(tag string, workspace string) harness.Completion {
	return harness.Completion{
		Tag: tag, Prompt: sharedPrompt(workspace), Tokens: maxAnswerTokens, NaturalTokens: s.Tokens, Stream: s.Stream, Chat: true,
	}
}

// sharedPrompt returns the prompt prefix that all requests of a workspace share.
func sharedPrompt(workspace string) string {
	line := "You answer questions of " + workspace + ". "
	return strings.Repeat(line, sharedPromptChars/len(line)+1)
}
