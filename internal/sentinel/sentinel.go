// Package sentinel provides errors that callers compare with errors.Is.
package sentinel

// Error is an error without a stack trace. errors.Is compares the messages of errors of the same
// type, and formatting the message of an error from errors.New costs tens of microseconds.
type Error string

// Error implements error.
func (e Error) Error() string { return string(e) }
