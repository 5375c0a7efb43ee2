package inband_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against edits of .ci/plant that change nothing any longer, because the line that they name was changed.
func TestPlantedFaultsChangeTheirFiles(t *testing.T) {
	is := is.New(t)
	script, err := os.ReadFile("../.ci/plant")
	is.NoErr(err)
	_, rest, _ := strings.Cut(string(script), "\nplants='\n")
	plants, _, isQuoted := strings.Cut(rest, "\n'\n")
	is.True(isQuoted)
	for plant := range strings.Lines(plants) {
		parts := strings.SplitN(strings.TrimSpace(plant), " ", 3) // name, file, edit
		t.Run(parts[0], func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(parts), 3)
			path := filepath.Join("..", parts[1])
			before, err := os.ReadFile(path) //nolint:gosec // the script names the file
			is.NoErr(err)
			after, err := exec.Command("sed", parts[2], path).Output() //nolint:gosec // the script names the edit
			is.NoErr(err)
			is.True(string(after) != string(before)) // the edit changes the file
		})
	}
}
