package fleet

import (
	"archive/tar"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const (
	sourceDirMode  = 0o755
	sourceFileMode = 0o644
)

// Build builds the daemon of an earlier revision of the repository that holds dir, and keeps it in the user's cache: an old build is to run
// beside the new one. Its error is an *Error.
func Build(ctx context.Context, dir, revision string) (program string, err error) {
	b := &revisionBuild{revision: revision}
	if b.commit, err = git(ctx, dir, "rev-parse", "--verify", "--quiet", revision+"^{commit}"); err != nil {
		return "", b.fail("git does not know it", err)
	}
	b.directory = filepath.Join(cacheDirectory(), "yardwinch-builds", b.commit)
	program = filepath.Join(b.directory, "yardwinch")
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	if b.repository, err = git(ctx, dir, "rev-parse", "--show-toplevel"); err != nil {
		return "", b.fail("no repository", err)
	}
	if err := os.MkdirAll(b.directory, sourceDirMode); err != nil {
		return "", b.fail("no place for it", err)
	}
	return program, b.build(ctx, program)
}

// git is the output of a git command.
func git(ctx context.Context, dir string, arguments ...string) (string, error) {
	text, err := exec.CommandContext(ctx, "git", append([]string{"-C", dir}, arguments...)...).Output()
	return strings.TrimSpace(string(text)), err
}

func cacheDirectory() string {
	cache, err := os.UserCacheDir()
	if err != nil {
		return os.TempDir()
	}
	return cache
}

// revisionBuild builds the daemon of a revision.
type revisionBuild struct {
	revision, commit      string
	repository, directory string
}

func (b *revisionBuild) fail(what string, err error) error {
	return &Error{
		Where:  "old build " + b.revision,
		What:   what,
		Remedy: "check that git knows the revision here, or name a program with --old",
		Err:    err,
	}
}

// build builds the program from an archive of the revision. The program takes its place when it is complete.
func (b *revisionBuild) build(ctx context.Context, program string) error {
	source, err := os.MkdirTemp(b.directory, "src")
	if err != nil {
		return b.fail("no place for it", err)
	}
	defer func() { _ = os.RemoveAll(source) }() // what is left of it lies in the directory of builds, and harms nobody
	if err := b.unpackSource(ctx, source); err != nil {
		return err
	}
	built := program + fmt.Sprintf(".%d", os.Getpid())
	command := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", built, "./cmd/yardwinch")
	command.Dir, command.Env = source, append(os.Environ(), "CGO_ENABLED=1")
	if text, err := command.CombinedOutput(); err != nil {
		return b.fail("building: "+strings.TrimSpace(string(text)), err)
	}
	if err := os.Rename(built, program); err != nil {
		return b.fail("keeping it", err)
	}
	return nil
}

func (b *revisionBuild) unpackSource(ctx context.Context, to string) error {
	archive := exec.CommandContext(ctx, "git", "-C", b.repository, "archive", "--format=tar", b.commit, ":(exclude)journal")
	out, err := archive.StdoutPipe()
	if err == nil {
		err = archive.Start()
	}
	if err != nil {
		return b.fail("git gives no archive", err)
	}
	if err := errors.Join(unpack(out, to), archive.Wait()); err != nil {
		return b.fail("unpacking", err)
	}
	return nil
}

// unpack unpacks directories and regular files of a tar archive.
func unpack(archive io.Reader, to string) error {
	entries := tar.NewReader(archive)
	for {
		header, err := entries.Next()
		if errors.Is(err, io.EOF) {
			_, err = io.Copy(io.Discard, archive) // the padding, or git would wait
			return err
		}
		if err != nil {
			return err
		}
		if !filepath.IsLocal(header.Name) {
			continue
		}
		path := filepath.Join(to, header.Name)
		switch header.Typeflag {
		case tar.TypeDir:
			err = os.MkdirAll(path, sourceDirMode)
		case tar.TypeReg:
			err = unpackFile(entries, path)
		}
		if err != nil {
			return err
		}
	}
}

func unpackFile(text io.Reader, path string) error {
	if err := os.MkdirAll(filepath.Dir(path), sourceDirMode); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, sourceFileMode)
	if err != nil {
		return err
	}
	_, err = io.Copy(file, text)
	return errors.Join(err, file.Close())
}
