// Package defaults sets options that a caller has not set.
package defaults

import "time"

// Set assigns value to the field if it has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Positive assigns value to the duration if it is zero or negative.
func Positive(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
