package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// fileSystem has the file operations that a Directory uses. Tests replace it to make single steps fail.
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

// osFileSystem is the file system of the operating system.
type osFileSystem struct{}

const (
	// O_NOFOLLOW: a symbolic link at the path of a new file could lead to a file of another user.
	createFlags = os.O_WRONLY | os.O_CREATE | os.O_TRUNC | syscall.O_NOFOLLOW
	fileMode    = 0o600
)

func (osFileSystem) Create(path string) (writableFile, error) {
	return os.OpenFile(path, createFlags, fileMode)
}
func (osFileSystem) Open(path string) (io.ReadCloser, error) { return os.Open(path) }
func (osFileSystem) Rename(from, to string) error            { return os.Rename(from, to) }
func (osFileSystem) Remove(path string) error                { return os.Remove(path) }
func (osFileSystem) Lstat(path string) (fs.FileInfo, error)  { return os.Lstat(path) }
func (osFileSystem) Glob(pattern string) ([]string, error)   { return filepath.Glob(pattern) }

// SyncDirectory makes changes to the entries of a directory survive a power failure.
func (osFileSystem) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(ignoreUnsupportedSync(directory.Sync()), directory.Close())
}

// ignoreUnsupportedSync ignores the error of a file system that doesn't support sync, such as one in memory: its files
// don't survive a power failure anyway.
func ignoreUnsupportedSync(err error) error {
	for _, unsupported := range []error{syscall.EINVAL, syscall.ENOTSUP, syscall.ENOSYS} {
		if errors.Is(err, unsupported) {
			return nil
		}
	}
	return err
}
