package limiter

// Class separates online requests, which may be refused, from batch items,
// which are only delayed.
type Class int

// Request classes.
const (
	Online Class = iota
	Batch
)
