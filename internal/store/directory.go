// Package store keeps what outlasts a process: a directory that the processes of one balancer share, and in it the
// file that names the administratively disabled servers. Files are written whole or not at all, so that a kill or
// a loss of power leaves the content before or the content after a write.
package store

import (
	"errors"
	"path/filepath"
	"strings"
)

// Directory is the directory that all processes of one balancer share. Several balancers may use the same
// directory: their files differ in their prefix.
type Directory struct {
	root   string
	prefix string // of this balancer's files
	files  fileSystem
}

// Open names a directory and the balancer, by the address on which it listens for clients. Nothing is opened yet:
// the directory may be missing or fail now, and at any later time.
func Open(root, listenAddress string) (*Directory, error) {
	if root == "" {
		return nil, errors.New("store: no directory is named")
	}
	return &Directory{root: root, prefix: filePrefix(listenAddress), files: systemFiles{}}, nil
}

// filePrefix turns an address into the beginning of a file name; what a file name may not contain becomes an
// underscore.
func filePrefix(listenAddress string) string {
	safe := func(r rune) rune {
		if r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}
	return "yardwinch-" + strings.Map(safe, strings.ToLower(listenAddress))
}

// Root is the path of the directory itself.
func (d *Directory) Root() string { return d.root }

// FileName is the name of one of this balancer's files, without the directory.
func (d *Directory) FileName(suffix string) string { return d.prefix + suffix }

// Path is the path of one of this balancer's files.
func (d *Directory) Path(suffix string) string { return filepath.Join(d.root, d.FileName(suffix)) }
