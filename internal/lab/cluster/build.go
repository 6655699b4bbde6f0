package cluster

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Build compiles both programs into a directory, from within the module.
func Build(directory string) (Programs, error) {
	build := exec.Command("go", "build", "-o", directory+"/", "github.com/micahaven/micahaven/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return Programs{}, errors.Wrap(err, "build programs")
	}
	return Programs{
		Micahaven: filepath.Join(directory, "micahaven"),
		Lab:       filepath.Join(directory, "micahaven-lab"),
	}, nil
}
