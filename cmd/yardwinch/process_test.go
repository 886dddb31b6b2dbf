package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// process is a running daemon.
type process struct {
	*os.Process
	ended <-chan error // receives the result of Wait
}

// startProcess starts a command with a configuration. The process is killed at the end of the test.
func startProcess(t *testing.T, cmd *exec.Cmd, config []byte) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "TMPDIR="+t.TempDir())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	return &process{Process: cmd.Process, ended: ended}
}

// callAdmin calls the admin API and returns the status of the response.
func callAdmin(ctx context.Context, method, adminAddress, call string) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+adminAddress+"/control/"+call, nil)
	if err != nil {
		return 0, err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// awaitResponse waits until the process responds on its admin API or ends. isRunning reports whether it has not ended.
// err is the result of Wait, or an error if there is no response in time.
func (p *process) awaitResponse(ctx context.Context, adminAddress string) (isRunning bool, err error) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		select {
		case err := <-p.ended:
			return false, err
		case <-time.After(pollInterval):
		}
		// Without an endpoint list the process is not ready, but it responds.
		if _, err := callAdmin(ctx, http.MethodGet, adminAddress, "ready"); err == nil {
			return true, nil
		}
	}
	return true, errors.New("the process neither responds nor ends")
}
