package daemon

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against an unsound figure that makes the hand-over fail, so that two processes serve side by side and the old
// one sends flows to a server that operators have disabled at the new one.
func TestUpgradeAfterUnsoundFigure(t *testing.T) {
	for _, c := range []struct {
		name, size, revision string
		lines                []string // that the server sends
	}{
		{"an infinite load", "1", "1", []string{"LOAD inf"}},
		{"a load that is not a number, and a huge one", "1", "1", []string{"LOAD nan", "LOAD 1e308", "LOAD 1e308"}},
		{"a negative size", "-1", "1", nil},
		{"a huge size", "1.7e308", "1", nil},
		{"a negative revision", "1", "-7", nil},
		{"a huge revision", "1", "1.7e308", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			environment := directoryEnvironment(t)
			old := newHarness(t)
			old.config = strings.Replace(old.config, `"phase":"SERVING"`, `"phase":"SERVING","size":`+c.size, 1)
			old.config = strings.Replace(old.config, `"revision":1`, `"revision":`+c.revision, 1)
			old.config = strings.Replace(old.config, `"service-types"`, `"weights":"nominal","service-types"`, 1)
			writeConfig(t, old.path, old.config)
			old.start(environment)
			client := &echoClient{t: t, in: old.wantFlow("before", "UP 1"), conn: old.lastClient}
			for _, line := range c.lines { // the server echoes them
				client.send(line + "\r\n")
				client.want(line + "\r\n")
			}
			next := old.successor().start(environment)
			if !next.hasPredecessor() {
				t.Fatal("the hand-over failed")
			}
			next.wantStatus("POST", "servers/a/offline", http.StatusOK)
			if isDisabled, _ := old.daemon.router.IsDisabled("a"); !isDisabled {
				t.Error("the server is not disabled at the old process")
			}
			client.send("M 1\r\n")
			client.want("M 1\r\n")
			old.end()
			next.end()
		})
	}
}
