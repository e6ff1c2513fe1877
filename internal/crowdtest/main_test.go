package crowdtest_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// productBinary and platformBinary are the paths of the programs under test.
var productBinary, platformBinary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "zinniasill-crowdtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make a folder:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder, "zinniasill/cmd/zinniasill", "zinniasill/cmd/zinniasill-platform")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	productBinary = filepath.Join(folder, "zinniasill")
	platformBinary = filepath.Join(folder, "zinniasill-platform")
	return m.Run()
}
