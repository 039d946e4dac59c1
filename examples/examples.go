// Package examples embeds the contracts of the two sample deployments, Lusofala and Lepilo.
package examples

import (
	"embed"
	"io/fs"

	"github.com/juju/errors"
)

//go:embed lusofala/*.yaml lepilo/*.yaml
var files embed.FS

// Contracts returns the text of every sample contract, ordered by path.
func Contracts() ([][]byte, error) {
	var out [][]byte
	err := fs.WalkDir(files, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := files.ReadFile(path)
		out = append(out, text)
		return err
	})
	return out, errors.Annotate(err, "read sample contracts")
}
