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

// File modes of certificates and address files, and of private keys.
const (
	publicMode  = 0o644
	privateMode = 0o600
)

func (a *app) keysCommand() *cobra.Command {
	c := &cobra.Command{Use: "keys", Short: "Create the keys by which processes authenticate each other"}
	var dir, name, role string
	var valid time.Duration
	newCommand := &cobra.Command{
		Use:     "new",
		Short:   "Create a host's key and certificate, and the authority if there is none yet",
		Example: "  turmericbarrow keys new --dir keys --name entry-1 --role entry",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return a.createKeys(dir, name, host.Role(role), valid)
		},
	}
	newCommand.Flags().StringVar(&dir, "dir", ".", "folder of authority.pem and authority.key, where new files are written too")
	newCommand.Flags().StringVar(&name, "name", "", "name of the host")
	newCommand.Flags().StringVar(&role, "role", "", "role of the process: entry or agent")
	newCommand.Flags().DurationVar(&valid, "valid", 90*24*time.Hour, "how long the certificate is valid")
	c.AddCommand(newCommand)
	return c
}

func (a *app) createKeys(dir, name string, role host.Role, valid time.Duration) error {
	switch {
	case name == "" || filepath.Base(name) != name || name == "authority":
		return badFlag("name", name, "a host's name")
	case role != host.RoleEntry && role != host.RoleAgent:
		return badFlag("role", role, "entry or agent")
	case valid <= 0:
		return badFlag("valid", valid, "more than 0s")
	}
	authority, err := a.loadOrCreateAuthority(dir, valid)
	if err != nil {
		return err
	}
	creds, err := authority.IssueCredentials(name, role, valid)
	if err != nil {
		return err
	}
	return a.writeCredentials(dir, name, creds.CertPEM, creds.KeyPEM)
}

// authorityValidityFactor is the ratio of a new authority's validity to that of the
// certificate that is issued with it.
const authorityValidityFactor = 10

// loadOrCreateAuthority reads the authority in dir, or creates one if there is none.
func (a *app) loadOrCreateAuthority(dir string, valid time.Duration) (certs.Authority, error) {
	cert, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	if os.IsNotExist(err) {
		created, err := certs.NewAuthority(authorityValidityFactor * valid)
		if err != nil {
			return certs.Authority{}, err
		}
		return created, a.writeCredentials(dir, "authority", created.CertPEM, created.KeyPEM)
	}
	if err != nil {
		return certs.Authority{}, errors.Annotate(err, "read authority")
	}
	key, err := os.ReadFile(filepath.Join(dir, "authority.key"))
	return certs.Authority{CertPEM: cert, KeyPEM: key}, errors.Annotate(err, "read authority")
}

func (a *app) writeCredentials(dir, name string, cert, key []byte) error {
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
