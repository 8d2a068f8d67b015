// Package defaults fills in options that a caller left out.
package defaults

import "time"

// Set gives a field that has its zero value another one.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Positive gives a duration that is not positive another value.
func Positive(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
