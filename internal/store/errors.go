package store

// DirectoryError says that the directory could not be read or written. It may be transient: the call can be retried.
type DirectoryError struct {
	Operation string
	Err       error
}

// Error names the operation and the system's error.
func (e *DirectoryError) Error() string { return e.Operation + ": " + e.Err.Error() }

// Unwrap returns the system's error.
func (e *DirectoryError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *DirectoryError) Advice() string {
	return "check that the directory in $TMPDIR exists, is writable and has free space; the operation is retried until it succeeds"
}

// ContentError says that the content of a stored file is invalid. Unlike a DirectoryError it is not transient: reading
// the file again doesn't help.
type ContentError struct {
	Path string
	Err  error
}

// Error names the file and what is wrong with it.
func (e *ContentError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the content.
func (e *ContentError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *ContentError) Advice() string {
	return "disable the servers again that should be disabled (/control/servers/ID/offline); the next such call rewrites the file"
}
