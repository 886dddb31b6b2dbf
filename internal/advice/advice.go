// Package advice defines an error with advice on what an operator can do about it.
package advice

// Error is an error with advice on what an operator can do about it.
type Error struct {
	Where  string // the configuration key, file or part of the program that is affected
	What   string // the fault
	Remedy string // what an operator can do about it
	Err    error  // the cause; nil if there is none
}

// Error returns the place, the fault and the cause.
func (e *Error) Error() string {
	text := e.Where + ": " + e.What
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Advice returns what an operator can do.
func (e *Error) Advice() string { return e.Remedy }
