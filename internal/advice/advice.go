// Package advice holds the error that says, beside what is wrong, what an operator can do about it.
package advice

// Error is a fault with what helps.
type Error struct {
	Where  string // the key, the file, or the part of the program
	What   string // what is wrong there
	Remedy string // what an operator can do
	Err    error  // the cause; nil: there is no other
}

func (e *Error) Error() string {
	text := e.Where + ": " + e.What
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *Error) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (e *Error) Advice() string { return e.Remedy }
