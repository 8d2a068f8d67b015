package main

import (
	"math/rand/v2"
	"strings"
	"time"

	"ragwortstep/test/harness"
)

const (
	// Lengths of answers, in tokens. Callers ask for more than they get, as
	// real ones do, so that estimates of the work are corrected afterwards.
	minAnswer  = 8
	meanAnswer = 24
	maxAnswer  = 96
	// sharedPromptChars is the length of the prompt prefix that all requests
	// of a workspace share, about 100 tokens.
	sharedPromptChars = 400
	// streamedPart is the part of completions that are streamed.
	streamedPart = 0.5
)

// send is one planned request.
type send struct {
	At        time.Duration // intended time from the start of the run
	Workspace int
	Host      int
	Tokens    int // length of the answer
	Stream    bool
}

// profile is the arrival rate over time, in requests/s.
type profile func(at time.Duration) float64

func steady(rate float64) profile { return func(time.Duration) float64 { return rate } }

// bursts alternates between low and high, each for half of the period.
func bursts(low, high float64, period time.Duration) profile {
	return func(at time.Duration) float64 {
		if at%period < period/2 {
			return low
		}
		return high
	}
}

// arrivals draws the times of a Poisson process with the profile by thinning.
// peak must be at least the largest rate of the profile.
func arrivals(rng *rand.Rand, p profile, peak float64, length time.Duration) []time.Duration {
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

// answerLength draws a length between minAnswer and maxAnswer with the mean meanAnswer, roughly.
func answerLength(rng *rand.Rand) int {
	return min(maxAnswer, minAnswer+int(rng.ExpFloat64()*(meanAnswer-minAnswer)))
}

// pick draws an index with the given weights.
func pick(rng *rand.Rand, weights []float64) int {
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

// mixedPlan draws requests of all workspaces, in proportion to weights, over all hosts evenly.
func mixedPlan(rng *rand.Rand, p profile, peak float64, length time.Duration, weights []float64, hosts int) []send {
	var out []send
	for _, at := range arrivals(rng, p, peak, length) {
		out = append(out, send{
			At: at, Workspace: pick(rng, weights), Host: rng.IntN(hosts),
			Tokens: answerLength(rng), Stream: rng.Float64() < streamedPart,
		})
	}
	return out
}

// completion returns the request of a planned send.
func (s send) completion(tag string, workspace string) harness.Completion {
	return harness.Completion{
		Tag: tag, Prompt: sharedPrompt(workspace), Tokens: maxAnswer, Natural: s.Tokens, Stream: s.Stream, Chat: true,
	}
}

// sharedPrompt is the beginning of all prompts of a workspace.
func sharedPrompt(workspace string) string {
	line := "You answer questions of " + workspace + ". "
	return strings.Repeat(line, sharedPromptChars/len(line)+1)
}
