package store

// DirectoryError says that the directory could not be read or written. It may pass: the same call can be made again.
type DirectoryError struct {
	Operation string
	Err       error
}

// Error names the operation and the system's error.
func (e *DirectoryError) Error() string { return e.Operation + ": " + e.Err.Error() }

// Unwrap gives the system's error.
func (e *DirectoryError) Unwrap() error { return e.Err }

// Advice says what an operator can do about it.
func (e *DirectoryError) Advice() string {
	return "check that the directory that $TMPDIR names exists, is writable and has free space; the operation is retried until it succeeds"
}

// ContentError says that the content of a stored file is not valid. Unlike a DirectoryError it doesn't pass:
// reading again doesn't help.
type ContentError struct {
	Path string
	Err  error
}

// Error names the file and what is wrong with it.
func (e *ContentError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap gives what is wrong with the content.
func (e *ContentError) Unwrap() error { return e.Err }

// Advice says what an operator can do about it.
func (e *ContentError) Advice() string {
	return "disable again the servers that are to be disabled (/control/servers/ID/offline); the next such call rewrites the file"
}
