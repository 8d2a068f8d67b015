// Command corecheck fails if a package below internal/core imports packages for
// I/O, logging, concurrency or nondeterministic random numbers, reads the clock,
// draws from a global random source, or starts a goroutine.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// root is the directory of the packages to check, relative to the working directory.
const root = "internal/core"

var forbiddenImports = map[string]bool{
	"os": true, "net": true, "net/http": true, "io/ioutil": true, "os/exec": true, "syscall": true,
	"log": true, "log/slog": true, "crypto/rand": true, "math/rand": true, "sync": true, "context": true,
}

// forbiddenCalls lists functions by the name of their package.
var forbiddenCalls = map[string]map[string]bool{
	"time": {"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true},
	"rand": {"Int": true, "IntN": true, "Int64N": true, "Float64": true, "Perm": true, "Shuffle": true, "Uint64": true, "N": true},
}

func main() {
	var violations []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		found, err := checkFile(path)
		violations = append(violations, found...)
		return err
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "corecheck:", err)
		os.Exit(1)
	}
	for _, f := range violations {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(violations) > 0 {
		os.Exit(1)
	}
}

// checkFile returns the violations in one file, each with its position.
func checkFile(path string) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		return nil, err
	}
	var violations []string
	report := func(pos token.Pos, text string) {
		violations = append(violations, fmt.Sprintf("%s: %s", fset.Position(pos), text))
	}
	for _, imp := range file.Imports {
		if name, _ := strconv.Unquote(imp.Path.Value); forbiddenImports[name] {
			report(imp.Pos(), "core imports "+name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			report(n.Pos(), "core starts a goroutine")
		case *ast.SelectorExpr:
			if pkg, ok := n.X.(*ast.Ident); ok && pkg.Obj == nil && forbiddenCalls[pkg.Name][n.Sel.Name] {
				report(n.Pos(), "core uses "+pkg.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return violations, nil
}
