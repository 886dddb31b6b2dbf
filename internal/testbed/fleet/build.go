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

// Build builds the daemon at an earlier revision of the repository that contains dir, for runs that mix an old and a new build. Programs are
// cached by commit in the user's cache directory. The error is an *Error.
func Build(ctx context.Context, dir, revision string) (program string, err error) {
	b := &revisionBuild{revision: revision}
	if b.commit, err = git(ctx, dir, "rev-parse", "--verify", "--quiet", revision+"^{commit}"); err != nil {
		return "", b.newError("unknown revision", err)
	}
	b.directory = filepath.Join(cacheDirectory(), "yardwinch-builds", b.commit)
	program = filepath.Join(b.directory, "yardwinch")
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	if b.repository, err = git(ctx, dir, "rev-parse", "--show-toplevel"); err != nil {
		return "", b.newError("not in a git repository", err)
	}
	if err := os.MkdirAll(b.directory, sourceDirMode); err != nil {
		return "", b.newError("cannot create the build directory", err)
	}
	return program, b.build(ctx, program)
}

// git runs a git command in dir and returns its trimmed output.
func git(ctx context.Context, dir string, arguments ...string) (string, error) {
	output, err := exec.CommandContext(ctx, "git", append([]string{"-C", dir}, arguments...)...).Output()
	return strings.TrimSpace(string(output)), err
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

func (b *revisionBuild) newError(what string, err error) error {
	return &Error{
		Where:  "old build " + b.revision,
		What:   what,
		Remedy: "check that the revision exists in this repository, or pass a program with --old",
		Err:    err,
	}
}

// build builds the program from an archive of the revision, under a temporary name, and renames it when it is complete.
func (b *revisionBuild) build(ctx context.Context, program string) error {
	source, err := os.MkdirTemp(b.directory, "src")
	if err != nil {
		return b.newError("cannot create a source directory", err)
	}
	defer func() { _ = os.RemoveAll(source) }() // leftovers stay in the build cache and are harmless
	if err := b.unpackSource(ctx, source); err != nil {
		return err
	}
	temporary := program + fmt.Sprintf(".%d", os.Getpid())
	command := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", temporary, "./cmd/yardwinch")
	command.Dir, command.Env = source, append(os.Environ(), "CGO_ENABLED=1")
	if output, err := command.CombinedOutput(); err != nil {
		return b.newError("go build failed: "+strings.TrimSpace(string(output)), err)
	}
	if err := os.Rename(temporary, program); err != nil {
		return b.newError("cannot rename the program", err)
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
		return b.newError("git archive failed", err)
	}
	if err := errors.Join(unpack(out, to), archive.Wait()); err != nil {
		return b.newError("cannot unpack the source", err)
	}
	return nil
}

// unpack extracts the directories and regular files of a tar archive.
func unpack(archive io.Reader, to string) error {
	entries := tar.NewReader(archive)
	for {
		header, err := entries.Next()
		if errors.Is(err, io.EOF) {
			_, err = io.Copy(io.Discard, archive) // reads the padding, without which git would block on the pipe
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

func unpackFile(content io.Reader, path string) error {
	if err := os.MkdirAll(filepath.Dir(path), sourceDirMode); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, sourceFileMode)
	if err != nil {
		return err
	}
	_, err = io.Copy(file, content)
	return errors.Join(err, file.Close())
}
