package upstream_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/upstream"
)

// Many large answers at once must not take more memory than all answers may, and small
// ones must be held whatever the large ones take.
func TestLargeAnswersShareTheirMemory(t *testing.T) {
	is := is.New(t)
	const small, large = 64 << 10, 2 << 20
	c := upstream.New(upstream.Options{AnswerMemory: 5 << 20})
	var held []*upstream.HeldAnswer
	for range 10 {
		if h := c.Hold(); h.Resize(large) == nil {
			held = append(held, h)
		}
	}
	is.Equal(len(held), 2)
	is.NoErr(c.Hold().Resize(small))
	is.True(errors.Is(c.Hold().Resize(large), upstream.ErrAnswerMemory))
	held[0].Release()
	is.True(errors.Is(held[0].Resize(large), upstream.ErrAnswerMemory)) // its answer has ended
	is.NoErr(c.Hold().Resize(large))
	is.True(errors.Is(c.Hold().Resize(upstream.MaxAnswerBytes+1), upstream.ErrAnswerTooLarge))
	is.NoErr(held[1].Resize(small)) // smaller again
	is.NoErr(c.Hold().Resize(large))
}

// endless repeats a text.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.read%len(e.text):])
	e.read += n
	return n, nil
}

// Bytes without end must end the reading of events: in one event, in comments, and in
// line feeds before an event.
func TestEndlessBytesAreNoEvent(t *testing.T) {
	for _, text := range []string{"data: x\n", ": x\n\n", ": x\n", "\n", "x"} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			is := is.New(t)
			source := &endless{text: text}
			r := upstream.NewEventReader(source, 0, upstream.New(upstream.Options{}).Hold())
			var err error
			for err == nil {
				_, err = r.Next()
				is.True(source.read < 2<<20)
			}
			is.True(errors.Is(err, upstream.ErrEventTooLarge))
		})
	}
}

// A large event is counted while it is read, and no longer once the next one is.
func TestEventsCountAsHeld(t *testing.T) {
	is := is.New(t)
	c := upstream.New(upstream.Options{AnswerMemory: 1 << 20})
	large := fmt.Sprintf("data: %s\n\n", strings.Repeat("x", 500<<10))
	held := c.Hold()
	r := upstream.NewEventReader(io.MultiReader(strings.NewReader("id: 1\n"+large), bytes.NewReader([]byte("id: 2\ndata: y\n\nid: 3\ndata: z\n\n"))), 0, held)
	_, err := r.Next()
	is.NoErr(err)
	_, err = upstream.NewEventReader(strings.NewReader("id: 1\n"+large), 0, c.Hold()).Next()
	is.True(errors.Is(err, upstream.ErrAnswerMemory))
	_, err = r.Next()
	is.NoErr(err)
	_, err = upstream.NewEventReader(strings.NewReader("id: 1\n"+large), 0, c.Hold()).Next()
	is.NoErr(err)
}
