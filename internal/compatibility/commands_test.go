package compatibility

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// helpTexts returns the help texts of a command and all its subcommands.
func helpTexts(t *testing.T, name string, path ...string) string {
	t.Helper()
	r := runCommand(t, name, "", "", append(path, "--help")...)
	text := fmt.Sprintf("== %s: exit code %d\n%s%s", strings.Join(path, " "), r.exitCode, r.stdout, r.stderr)
	if len(path) > 0 && path[len(path)-1] == "help" {
		return text
	}
	for _, sub := range subcommands(r.stdout) {
		if sub != "help" {
			text += helpTexts(t, name, append(append([]string{}, path...), sub)...)
		}
	}
	return text
}

var (
	subcommandPattern = regexp.MustCompile(`(?m)^   ([a-z][a-z-]*)(, [a-z])?  `)
	flagPattern       = regexp.MustCompile(`(?m)^   (--[a-z][a-z-]*(?:, -[a-z])?(?: [A-Za-z]+)?)`)
	headerPattern     = regexp.MustCompile(`(?m)^== .*$`)
	variablesPattern  = regexp.MustCompile(`\[\$[A-Z_, $]+\]`)
)

// subcommands returns the subcommands that a help text lists.
func subcommands(help string) (names []string) {
	_, list, found := strings.Cut(help, "\nCOMMANDS:\n")
	if !found {
		return nil
	}
	list, _, _ = strings.Cut(list, "\n\n")
	for _, m := range subcommandPattern.FindAllStringSubmatch(list+"\n", -1) {
		names = append(names, m[1])
	}
	return names
}

// helpNames returns the commands, flags and environment variables in help texts, without descriptions.
func helpNames(help string) string {
	var found strings.Builder
	for _, line := range strings.Split(help, "\n") {
		switch {
		case headerPattern.MatchString(line):
			fmt.Fprintln(&found, line)
		case flagPattern.MatchString(line):
			fmt.Fprintln(&found, "  ", flagPattern.FindStringSubmatch(line)[1], variablesPattern.FindString(line))
		}
	}
	return found.String()
}

// Deployment files and scripts use the names of commands, flags and environment variables. The daemon's help texts are
// compared in full, as operators read them. Of the testbed's help texts, only these names are compared.
func TestHelp(t *testing.T) {
	t.Parallel()
	daemon := helpTexts(t, "daemon")
	compareGolden(t, "commands/daemon-help.txt", daemon)
	compareGolden(t, "commands/daemon-names.txt", helpNames(daemon))
	compareGolden(t, "commands/testbed-names.txt", helpNames(helpTexts(t, "testbed")))
}

// writeFiles writes files into a new directory.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	directory := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return directory
}

// replaceCommandName replaces a command's file name at the start of output lines by its name in golden files, as the
// file name may change.
func replaceCommandName(name, output string) string {
	prefix := filepath.Base(commandPackages[name]) + ":"
	lines := strings.Split(output, "\n")
	for i, line := range lines {
		if text, found := strings.CutPrefix(line, prefix); found && name != "daemon" {
			lines[i] = name + ":" + text
		}
	}
	return strings.Join(lines, "\n")
}

// Scripts depend on the exit codes, and operators on the error messages.
func TestExitCodes(t *testing.T) {
	t.Parallel()
	validConfig := `{"listen":"127.0.0.1:18080","discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":64,"sockets":200},"settings":{"service-types":[{"name":"live","effect":"free","group":"all","hard-limit":800000000}]}}`
	directory := writeFiles(t, map[string]string{
		"sound.json": validConfig, "broken.json": "{", "empty.json": "", "unserved.json": `{"listen":"127.0.0.1:18080"}`,
		"word.json":    strings.Replace(validConfig, `"free"`, `"maybe"`, 1),
		"options.toml": readFile(t, "testdata/options/all.toml"), "unknown.toml": "[hals]\nspill = 1\n", "key.toml": "[explain]\nsoket = \"/x\"\n",
		"relative.toml": "[explain]\nsocket = \"x\"\n", "nopeers.toml": "[signals]\non = true\n", "noduties.toml": "[duties]\non = true\n",
		"badpeer.toml": "[peers]\nname = \"a b\"\nlabel = \"x\"\nbind = \"here\"\n", "nosocket.toml": "[halls]\n", "broken.toml": "[",
		"halls.toml": "[halls]\nspill = 7\n", "plan.toml": "name = \"x\"\n", "fewer.toml": "name = \"x\"\n[fleet]\nservers = -1\n", "word.toml": "name = 1\n",
	})
	var output strings.Builder
	for _, line := range []string{
		"daemon nonsense", "daemon serve --nonsense", "daemon serve", "daemon serve --config none.json", "daemon serve --config broken.json", "daemon serve --config unserved.json",
		"daemon serve --config sound.json --options none.toml", "daemon serve --config sound.json --options unknown.toml",
		"daemon check", "daemon check --config none.json", "daemon check --config broken.json", "daemon check --config empty.json", "daemon check --config unserved.json",
		"daemon check --config word.json", "daemon check --config sound.json", "daemon check --config sound.json --options options.toml", "daemon check --config sound.json --options none.toml",
		"daemon check --config sound.json --options unknown.toml", "daemon check --config sound.json --options key.toml", "daemon check --config sound.json --options relative.toml",
		"daemon check --config sound.json --options nopeers.toml", "daemon check --config sound.json --options noduties.toml", "daemon check --config sound.json --options badpeer.toml",
		"daemon check --config sound.json --options broken.toml", "daemon check --config sound.json --options halls.toml",
		"daemon explain", "daemon explain --socket none", "daemon explain --options none.toml", "daemon explain --options nosocket.toml", "daemon explain --socket none a b",
		"daemon members", "daemon members --socket none", "daemon migrate", "daemon migrate --shape sound.json a", "daemon migrate --shape none.json none.json new.json",
		"testbed nonsense", "testbed run", "testbed run none.toml", "testbed run fewer.toml", "testbed run word.toml", "testbed run --policy none plan.toml", "testbed compare none.toml",
		"testbed fleet", "testbed fleet none.toml", "testbed fleet word.toml", "testbed fleet soak --seeds x", "testbed fleet soak --seeds 5-1", "testbed hunt", "testbed agree", "testbed logs", "testbed logs none",
		"testbed load", "testbed load 10.0.0.1:80", "testbed load --rate 0 127.0.0.1:1", "testbed servers --listen here", "testbed servers --for 1ms", "testbed servers none.toml",
		"testbed scale run none.toml", "testbed scale nonsense",
	} {
		words := strings.Fields(line)
		r := runCommand(t, words[0], directory, "", words[1:]...)
		fmt.Fprintf(&output, "== %s: exit code %d\n%s%s", line, r.exitCode, r.stdout, replaceCommandName(words[0], r.stderr))
	}
	compareGolden(t, "commands/exit-codes.txt", output.String())
}

// Migrating an earlier configuration to another shape writes the same bytes as before.
func TestMigrateAnEarlierConfiguration(t *testing.T) {
	t.Parallel()
	oldConfig, shape := readFile(t, "testdata/migrate/old.json"), readFile(t, "testdata/migrate/shape.json")
	for _, c := range []struct {
		name      string
		arguments string
	}{
		{"written", "old.json new.json"},
		{"dry", "--dry-run old.json new.json"},
		{"over-another", "old.json there.json"},
		{"by-force", "--force old.json there.json"},
		{"over-itself", "--force old.json old.json"},
		{"broken", "broken.json new.json"},
	} {
		t.Run(c.name, func(t *testing.T) {
			directory := writeFiles(t, map[string]string{"old.json": oldConfig, "shape.json": shape, "there.json": "precious", "broken.json": "{"})
			r := runCommand(t, "daemon", directory, "", append([]string{"migrate", "--shape", "shape.json"}, strings.Fields(c.arguments)...)...)
			text := fmt.Sprintf("exit code %d\n%s%s", r.exitCode, r.stdout, r.stderr)
			for _, name := range []string{"old.json", "new.json", "there.json"} {
				written, err := os.ReadFile(filepath.Join(directory, name))
				if os.IsNotExist(err) {
					written = []byte("is not there")
				}
				if s := string(written); s != oldConfig {
					text += fmt.Sprintf("== %s\n%s\n", name, s)
				}
			}
			compareGolden(t, "migrate/"+c.name+".txt", text)
		})
	}
}
