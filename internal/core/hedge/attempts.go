package hedge

import "slices"

// Attempts counts the servers that one request was sent to. A server counts once, however
// often it is asked. The zero value allows none.
type Attempts struct {
	Max      int // servers that the request may be sent to
	sends    int
	tried    []string // ids of the servers
	askAgain []string // those of them that may be asked once more
}

// Send counts that the request is sent to a server. It reports whether the server is a
// new one.
func (a *Attempts) Send(id string) (isNew bool) {
	a.askAgain = slices.DeleteFunc(a.askAgain, func(tried string) bool { return tried == id })
	if slices.Contains(a.tried, id) {
		return false
	}
	a.tried = append(a.tried, id)
	a.sends++
	return true
}

// Unsent takes back the count of a new server that got no byte of the request. The server
// stays among those that were tried.
func (a *Attempts) Unsent() { a.sends-- }

// Forget removes servers from those that were tried.
func (a *Attempts) Forget(ids []string) {
	a.tried = slices.DeleteFunc(a.tried, func(id string) bool { return slices.Contains(ids, id) })
}

// AllowAgain lets a server that was tried be asked once more.
func (a *Attempts) AllowAgain(id string) { a.askAgain = append(a.askAgain, id) }

// Count returns the number of servers that were sent at least one byte.
func (a *Attempts) Count() int { return a.sends }

// MayAskNew reports whether the request may be sent to one more server.
func (a *Attempts) MayAskNew() bool { return a.sends < a.Max }

// MayAsk reports whether the request may be sent to any server, new or not.
func (a *Attempts) MayAsk() bool { return a.MayAskNew() || len(a.askAgain) > 0 }

// Tried returns the servers that were tried.
func (a *Attempts) Tried() []string { return a.tried }

// AskAgain returns the servers that may be asked once more.
func (a *Attempts) AskAgain() []string { return a.askAgain }

// Excluded returns the servers that were tried and must not be asked again.
func (a *Attempts) Excluded() []string {
	return slices.DeleteFunc(slices.Clone(a.tried), func(id string) bool { return slices.Contains(a.askAgain, id) })
}
