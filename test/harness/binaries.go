package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Binaries are the programs that a deployment runs.
type Binaries struct {
	Ragwortstep string
	Standin     string
}

// BuildBinaries compiles the programs of this module into the folder.
func BuildBinaries(ctx context.Context, dir string) (Binaries, error) {
	root, err := moduleRoot()
	if err != nil {
		return Binaries{}, err
	}
	b := Binaries{Ragwortstep: filepath.Join(dir, "ragwortstep"), Standin: filepath.Join(dir, "standin")}
	for target, pkg := range map[string]string{b.Ragwortstep: "./cmd/ragwortstep", b.Standin: "./test/standin"} {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", target, pkg)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return Binaries{}, errors.Wrapf(err, "build %s: %s", pkg, out)
		}
	}
	return b, nil
}

// PrebuiltBinaries returns the programs that `make build` left in bin/.
func PrebuiltBinaries() (Binaries, error) {
	root, err := moduleRoot()
	if err != nil {
		return Binaries{}, err
	}
	b := Binaries{Ragwortstep: filepath.Join(root, "bin", "ragwortstep"), Standin: filepath.Join(root, "bin", "standin")}
	for _, path := range []string{b.Ragwortstep, b.Standin} {
		if _, err := os.Stat(path); err != nil {
			return Binaries{}, errors.Wrapf(err, "program %s is missing, run make build", path)
		}
	}
	return b, nil
}

// moduleRoot returns the nearest folder above the working directory with a go.mod.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.mod above the working directory")
		}
		dir = parent
	}
}
