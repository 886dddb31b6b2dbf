package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// fileSystem is what a Directory asks of the system for the files that it keeps. Tests let single steps fail.
type fileSystem interface {
	Create(path string) (writableFile, error)
	Open(path string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(path string) error
	Lstat(path string) (fs.FileInfo, error)
	Glob(pattern string) ([]string, error)
	SyncDirectory(path string) error
}

// writableFile is a file that is being written.
type writableFile interface {
	io.WriteCloser
	Sync() error
}

// systemFiles are the files of the operating system.
type systemFiles struct{}

const (
	// A link in the place of a new file is not followed: it could lead to a file of somebody else.
	createFlags = os.O_WRONLY | os.O_CREATE | os.O_TRUNC | syscall.O_NOFOLLOW
	fileMode    = 0o600
)

func (systemFiles) Create(path string) (writableFile, error) {
	return os.OpenFile(path, createFlags, fileMode)
}
func (systemFiles) Open(path string) (io.ReadCloser, error) { return os.Open(path) }
func (systemFiles) Rename(from, to string) error            { return os.Rename(from, to) }
func (systemFiles) Remove(path string) error                { return os.Remove(path) }
func (systemFiles) Lstat(path string) (fs.FileInfo, error)  { return os.Lstat(path) }
func (systemFiles) Glob(pattern string) ([]string, error)   { return filepath.Glob(pattern) }

// SyncDirectory makes the names in a directory outlast a loss of power.
func (systemFiles) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(ignoreUnsupportedSync(directory.Sync()), directory.Close())
}

// ignoreUnsupportedSync drops the error of a file system that knows no sync, such as one in memory: it has no loss
// of power to survive.
func ignoreUnsupportedSync(err error) error {
	for _, unsupported := range []error{syscall.EINVAL, syscall.ENOTSUP, syscall.ENOSYS} {
		if errors.Is(err, unsupported) {
			return nil
		}
	}
	return err
}
