package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

var (
	docCommand = regexp.MustCompile("(?m)(?:^|`)ragwortstep ([^#`\n]+)")
	docFlag    = regexp.MustCompile(`--([a-z-]+)`)
	docLink    = regexp.MustCompile(`\]\(([a-z./]+\.md)\)`)
	docCounter = regexp.MustCompile("(?m)^\\| `([a-z]+)\\.([a-z_]+)` \\|")
)

func readDocs(t *testing.T) map[string]string {
	t.Helper()
	names, err := filepath.Glob("../../docs/*.md")
	if err != nil || len(names) < 8 {
		t.Fatalf("pages %v, error %v", names, err)
	}
	pages := map[string]string{}
	for _, name := range append(names, "../../README.md") {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		pages[name] = string(text)
	}
	return pages
}

// findCommand finds the command that a command line names. It returns the
// command's path and the flags that it accepts.
func findCommand(root *cli.Command, words []string) (path []string, flags []string) {
	current := root
	for {
		for _, f := range current.Flags {
			flags = append(flags, f.Names()...)
		}
		var next *cli.Command
		if len(words) > 0 {
			next = current.Command(words[0])
		}
		if next == nil {
			return path, flags
		}
		current, words, path = next, words[1:], append(path, words[0])
	}
}

// Guards against pages, such as runbooks, that name commands or flags which were
// removed or renamed.
func TestDocumentedCommandsExist(t *testing.T) {
	found := 0
	for name, text := range readDocs(t) {
		for _, m := range docCommand.FindAllStringSubmatch(text, -1) {
			line := strings.TrimSpace(m[1])
			path, flags := findCommand((&app{}).root(), strings.Fields(line))
			if len(path) == 0 || (&app{}).root().Command(path[0]).Commands != nil && len(path) == 1 {
				t.Errorf("%s: no command %q", name, line)
				continue
			}
			for _, f := range docFlag.FindAllStringSubmatch(line, -1) {
				if !slices.Contains(flags, f[1]) {
					t.Errorf("%s: %q: no flag --%s", name, line, f[1])
				}
			}
			found++
		}
	}
	if found < 40 {
		t.Fatalf("only %d commands found in the pages", found)
	}
}

// Guards against documented counters that no code increments, so that alerts on
// them would never fire.
func TestDocumentedCountersExist(t *testing.T) {
	page := readDocs(t)["../../docs/metrics.md"]
	counters := docCounter.FindAllStringSubmatch(page, -1)
	if len(counters) < 30 {
		t.Fatalf("only %d counters found", len(counters))
	}
	for _, m := range counters {
		files, err := filepath.Glob("../../internal/" + m[1] + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		if !slices.ContainsFunc(files, func(name string) bool {
			text, err := os.ReadFile(name)
			return err == nil && !strings.HasSuffix(name, "_test.go") && strings.Contains(string(text), `"`+m[2]+`"`)
		}) {
			t.Errorf("no counter %s.%s in internal/%s", m[1], m[2], m[1])
		}
	}
}

func TestDocumentedLinksExist(t *testing.T) {
	for name, text := range readDocs(t) {
		for _, m := range docLink.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), m[1])); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

// Guards against an exit code whose entry in the runbook, from which scripts are
// written, is missing or outdated.
func TestDocumentedExitCodes(t *testing.T) {
	page := readDocs(t)["../../docs/runbooks.md"]
	for i, e := range exitMeanings {
		if e.code != i || !strings.Contains(page, fmt.Sprintf("| %d | %s |\n", e.code, e.meaning)) {
			t.Errorf("exit code %d (%s) is not listed", e.code, e.meaning)
		}
	}
}
