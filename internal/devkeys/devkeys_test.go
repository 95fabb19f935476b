package devkeys

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestGenerateKeepsExistingFiles(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(c.TempDir(), "keys")
	c.Assert(Generate(dir, []string{"vm-1"}), qt.IsNil)
	files := []string{CAFile, "vm-1.pem", "vm-1.key"}
	before := read(c, dir, files)

	c.Assert(Generate(dir, []string{"vm-1", "vm-2"}), qt.IsNil)
	c.Assert(read(c, dir, files), qt.DeepEquals, before)
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "vm-2.pem"), filepath.Join(dir, "vm-2.key"))
	c.Assert(err, qt.IsNil)
	c.Assert(pair.Leaf.Subject.CommonName, qt.Equals, "vm-2")
}

func TestGenerateReplacesCertificatesOfAnotherAuthority(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	c.Assert(Generate(dir, []string{"vm-1"}), qt.IsNil)
	c.Assert(os.Remove(filepath.Join(dir, CAFile)), qt.IsNil)
	before := read(c, dir, []string{"vm-1.pem"})

	c.Assert(Generate(dir, []string{"vm-1"}), qt.IsNil)
	c.Assert(read(c, dir, []string{"vm-1.pem"}), qt.Not(qt.DeepEquals), before)
}

func read(c *qt.C, dir string, names []string) []string {
	var contents []string
	for _, name := range names {
		content, err := os.ReadFile(filepath.Join(dir, name))
		c.Assert(err, qt.IsNil)
		contents = append(contents, string(content))
	}
	return contents
}
