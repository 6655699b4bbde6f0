// Package sentinel provides errors that callers compare with errors.Is.
package sentinel

// Error is an error without a stack trace, whose message is its text. errors.Is compares the
// messages of errors of the same type, and an error from cockroachdb/errors formats its message with
// regular expressions each time.
type Error string

// Error implements error.
func (e Error) Error() string { return string(e) }
