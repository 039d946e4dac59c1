package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
)

// Modes of the files that keys new writes.
const (
	publicMode  = 0o644
	privateMode = 0o600
)

func (a *app) keysCommand() *cobra.Command {
	c := &cobra.Command{Use: "keys", Short: "Make the keys by which processes know each other"}
	var dir, name, role string
	var valid time.Duration
	n := &cobra.Command{
		Use:     "new",
		Short:   "Make a host's certificate, and the authority if there is none yet",
		Example: "  turmericbarrow keys new --dir keys --name entry-1 --role entry",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return a.newKeys(dir, name, host.Role(role), valid)
		},
	}
	n.Flags().StringVar(&dir, "dir", ".", "folder of authority.pem and authority.key, and of what is made")
	n.Flags().StringVar(&name, "name", "", "name of the host")
	n.Flags().StringVar(&role, "role", "", "role of the process: entry or agent")
	n.Flags().DurationVar(&valid, "valid", 90*24*time.Hour, "how long the certificate is valid")
	c.AddCommand(n)
	return c
}

func (a *app) newKeys(dir, name string, role host.Role, valid time.Duration) error {
	switch {
	case name == "" || filepath.Base(name) != name || name == "authority":
		return badFlag("name", name, "a host's name")
	case role != host.RoleEntry && role != host.RoleAgent:
		return badFlag("role", role, "entry or agent")
	case valid <= 0:
		return badFlag("valid", valid, "more than 0s")
	}
	authority, err := a.authority(dir, valid)
	if err != nil {
		return err
	}
	p, err := authority.IssueCredentials(name, role, valid)
	if err != nil {
		return err
	}
	return a.writePair(dir, name, p.CertPEM, p.KeyPEM)
}

// authorityValidFactor times a certificate's validity is that of a new authority.
const authorityValidFactor = 10

// authority reads the folder's authority, or makes one.
func (a *app) authority(dir string, valid time.Duration) (certs.Authority, error) {
	cert, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	if os.IsNotExist(err) {
		made, err := certs.NewAuthority(authorityValidFactor * valid)
		if err != nil {
			return certs.Authority{}, err
		}
		return made, a.writePair(dir, "authority", made.CertPEM, made.KeyPEM)
	}
	if err != nil {
		return certs.Authority{}, errors.Annotate(err, "read authority")
	}
	key, err := os.ReadFile(filepath.Join(dir, "authority.key"))
	return certs.Authority{CertPEM: cert, KeyPEM: key}, errors.Annotate(err, "read authority")
}

func (a *app) writePair(dir, name string, cert, key []byte) error {
	for _, f := range []struct {
		path string
		data []byte
		mode os.FileMode
	}{
		{filepath.Join(dir, name+".pem"), cert, publicMode},
		{filepath.Join(dir, name+".key"), key, privateMode},
	} {
		if err := os.WriteFile(f.path, f.data, f.mode); err != nil {
			return errors.Annotatef(err, "write keys of %s", name)
		}
		fmt.Fprintln(a.out, f.path)
	}
	return nil
}
