package orders

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

func TestPlan(t *testing.T) {
	is := is.New(t)
	var entries []Entry
	targets := map[string]Target{}
	for i := range 40 {
		name := fmt.Sprintf("s%02d", i)
		targets[name] = Target{Address: name, Fencing: i%2 == 0}
		entries = append(entries,
			Entry{Order: Order{Server: name, Kind: LoadModel, Model: "a"}, Generation: 1},
			Entry{Order: Order{Server: name, Kind: SetRole, Role: "decode"}, Generation: 1})
	}
	all := func(bool) bool { return true }
	p := NewProgress()
	first := Plan(start, entries, targets, p, all)
	is.Equal(len(first), MaxParallel) // one per server, bounded in total
	is.Equal(first[1].Server, "s01")
	for _, e := range first {
		p.AttemptStarted(e)
	}
	is.Equal(len(Plan(start, entries, targets, p, all)), 0)
	p.AttemptEnded(start, first[0], false)
	is.Equal(Plan(start, entries, targets, p, all)[0].Server, "s00")
	p.AttemptEnded(start, first[1], true)
	p.AttemptEnded(start, first[2], true)
	fencingOnly := Plan(start, entries[:10], targets, p, func(fencing bool) bool { return fencing })
	is.Equal(len(fencingOnly), 2)                       // s00, and the other order of s02
	is.Equal(fencingOnly[1].Kind, SetRole)              // the failed order waits for its retry delay
	is.Equal(len(Plan(start, entries, nil, p, all)), 0) // servers that are not in the table
	is.Equal(retryDelay(60), time.Minute)
	is.Equal(retryDelay(1), time.Second)
}

// Guards against a confirmation that marks an order as applied although the
// server has not executed it.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	e := Entry{Order: Order{Server: "s", Kind: SetRole, Role: "decode"}, Generation: 1}
	done := e.Confirm(e, 3)
	is.True(!done.Pending() && done.Epoch == 3)
	is.True(done.RequireResend().Pending())
	is.True(done.RequireResend().Confirm(e, 3).Pending()) // confirmation of the order sent before RequireResend
	is.Equal(done.RecordFailure("x").Confirm(e, 2), done)
	newer := e
	newer.Role, newer.Generation = "prefill", 2
	is.True(newer.Confirm(e, 3).Pending())
	newer.Generation = 1 // set again after a removal
	is.True(newer.Confirm(e, 3).Pending())
}

func TestValidateOrder(t *testing.T) {
	is := is.New(t)
	good := []Order{
		{Server: "s", Kind: LoadModel, Model: "org/m"},
		{Server: "s", Kind: LoadAdapter, Model: "m", Adapter: "a"},
		{Server: "s", Kind: LoadVersion, Model: "m", Version: "2"},
		{Server: "s", Kind: SetRole, Role: "prefill"},
	}
	slots := map[string]bool{}
	for _, o := range good {
		is.NoErr(o.Validate())
		slots[o.Slot()] = true
	}
	is.Equal(len(slots), len(good))
	bad := map[string]Order{
		"kind": {Server: "s", Kind: "x"}, "server": {Kind: SetRole, Role: "r"}, "model": {Server: "s", Kind: LoadModel},
		"adapter": {Server: "s", Kind: LoadAdapter, Model: "m"}, "version": {Server: "s", Kind: LoadVersion, Model: "m", Version: "a b"},
		"role": {Server: "s", Kind: LoadModel, Model: "m", Role: "r"},
	}
	for field, o := range bad {
		var invalid *InvalidError
		is.True(errors.As(o.Validate(), &invalid))
		is.Equal(invalid.Field, field)
	}
}
