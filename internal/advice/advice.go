// Package advice holds the error that says, beside what is wrong, what an operator can do about it.
package advice

// Error is a fault and what an operator can do about it.
type Error struct {
	Where  string // the key, the file, or the part of the program
	What   string // is wrong there
	Remedy string // what an operator can do
	Err    error  // the cause; nil: none
}

// Error names the place, the fault and the cause.
func (e *Error) Error() string {
	text := e.Where + ": " + e.What
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap is the cause.
func (e *Error) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (e *Error) Advice() string { return e.Remedy }
