// Package store persists state in a directory that the processes of one balancer share: the file of administratively
// disabled servers. Files are replaced atomically, so that after a kill or a power failure they have either the content
// before a write or the content after it.
package store

import (
	"errors"
	"path/filepath"
	"strings"
)

// Directory is the directory that all processes of one balancer share. Several balancers may use the same directory:
// their file names have different prefixes.
type Directory struct {
	root   string
	prefix string // of the names of this balancer's files
	files  fileSystem
}

// Open returns the directory at a path, for the balancer that listens for clients on an address. It doesn't access the
// directory, which may be missing or failing now or at any later time.
func Open(root, listenAddress string) (*Directory, error) {
	if root == "" {
		return nil, errors.New("store: no directory is configured")
	}
	return &Directory{root: root, prefix: filePrefix(listenAddress), files: osFileSystem{}}, nil
}

// filePrefix returns the prefix of the file names for an address. Characters other than letters, digits and periods are
// replaced by underscores.
func filePrefix(listenAddress string) string {
	safe := func(r rune) rune {
		if r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}
	return "yardwinch-" + strings.Map(safe, strings.ToLower(listenAddress))
}

// Root returns the path of the directory.
func (d *Directory) Root() string { return d.root }

// FileName returns the name of one of this balancer's files, without the directory.
func (d *Directory) FileName(suffix string) string { return d.prefix + suffix }

// Path returns the path of one of this balancer's files.
func (d *Directory) Path(suffix string) string { return filepath.Join(d.root, d.FileName(suffix)) }
