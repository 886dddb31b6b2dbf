package knownred

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestList(t *testing.T) {
	const a, b, c, d = "TestA — cause — 1\n", "TestB — cause — 2\n", "TestC — cause — 3\n", "TestD — cause — 4\n"
	for _, x := range []struct {
		name, text string
		line       int // of the fault; 0: none
	}{
		{"none", "", 0}, {"three", a + b + c, 0}, {"a fourth", a + b + c + d, 4}, {"twice", a + a, 2},
		{"no issue", a + "TestB — cause\n", 2}, {"an empty cause", "TestA —   — 1\n", 1}, {"a part of a test", "TestA/b — cause — 1\n", 1},
		{"no test", "Flaky — cause — 1\n", 1}, {"an empty line", a + "\n", 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			_, err := List(strings.NewReader(x.text))
			var at *LineError
			if errors.As(err, &at) != (x.line > 0) || at != nil && at.Line != x.line {
				t.Errorf("%v, want a fault in line %d", err, x.line)
			}
		})
	}
}

// A module of its own is tested for real, and judged.
func TestVerdict(t *testing.T) {
	const green, red = "func TestGreen(t *testing.T) {}\n", "func TestRed(t *testing.T) { t.Run(\"x\", func(t *testing.T) { t.Error(\"seen\") }) }\n"
	const list = "TestRed — a cause — 7\n"
	for _, x := range []struct{ name, code, list, want string }{
		{"all pass", green, "", ""},
		{"a known one fails and is shown", green + red, list, ""},
		{"one fails that nobody knows of", green + red, "", "x TestRed fails"},
		{"another one fails", green + red + "func TestOther(t *testing.T) { t.Error() }\n", list, "x TestOther fails"},
		{"a known one passes", strings.Replace(green, "Green", "Red", 1), list, "TestRed is listed as known red and passes"},
		{"a known one is skipped", "func TestRed(t *testing.T) { t.Skip() }\n", list, "was skipped"},
		{"no such test", green, list, "no test has that name"},
		{"a known one panics before the others ran", "func TestRed(t *testing.T) { panic(1) }\n" + green, list, "x fails as a whole"},
		{"it does not build", "func TestRed(t *testing.T) { none() }\n", list, "x fails as a whole"},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for name, text := range map[string]string{"go.mod": "module x\n", "x_test.go": "package x\n\nimport \"testing\"\n\n" + x.code} {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			c := exec.Command("go", "test", "-count=1", "-json", "./...")
			c.Dir = dir
			out, _ := c.Output() // it fails where a test does
			reds, err := List(strings.NewReader(x.list))
			if err != nil {
				t.Fatal(err)
			}
			var show strings.Builder
			err = Judge(strings.NewReader(string(out)), reds, &show)
			if x.want == "" && err != nil || x.want != "" && (!errors.Is(err, ErrRed) || !strings.Contains(err.Error(), x.want)) {
				t.Errorf("%v, want %q\n%s", err, x.want, show.String())
			}
			if x.want == "" && x.list != "" && (!strings.Contains(show.String(), "seen") || !strings.Contains(show.String(), "known red, passed over: TestRed — a cause — 7")) {
				t.Errorf("shown: %s", show.String())
			}
		})
	}
}
