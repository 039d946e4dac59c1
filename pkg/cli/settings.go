package cli

import (
	"crypto/tls"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/pflag"

	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/serve"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// assumedMemoryMB is the memory that the defaults of --max-keys and --max-answer-mb need.
const assumedMemoryMB = 1024

// hostFlags are the flags that entries and agents share.
type hostFlags struct {
	name              string
	region            string
	zone              string
	rack              string
	authority         string
	certificate       string
	key               string
	heartbeatInterval time.Duration
	linkIdleTimeout   time.Duration
	// checkOnly makes the process check its settings and exit.
	checkOnly bool
	clients   serve.ClientFlags
}

func (h *hostFlags) add(f *pflag.FlagSet) {
	f.StringVar(&h.name, "name", "", "name of this host, as in its certificate")
	f.StringVar(&h.region, "region", "", "region of this host")
	f.StringVar(&h.zone, "zone", "", "availability zone of this host")
	f.StringVar(&h.rack, "rack", "", "rack of this host, if known")
	f.StringVar(&h.authority, "authority", "", "authority's certificate, as PEM text or a file's path")
	f.StringVar(&h.certificate, "certificate", "", "this host's certificate, as PEM text or a file's path")
	f.StringVar(&h.key, "key", "", "this host's private key, as PEM text or a file's path")
	f.DurationVar(&h.heartbeatInterval, "heartbeat", 600*time.Millisecond, "interval of heartbeats on links")
	f.DurationVar(&h.linkIdleTimeout, "silence", 1800*time.Millisecond, "how long a link may be silent before it is replaced")
	f.BoolVar(&h.checkOnly, "check", false, "check the settings and exit with 2 if one is not allowed")
	h.clients.AssumedMemoryMB = assumedMemoryMB
	h.clients.Add(f)
}

// problems returns an error for each flag that is not allowed.
func (h *hostFlags) problems() []error {
	var errs []error
	for _, f := range []struct{ name, value string }{{"name", h.name}, {"region", h.region}, {"zone", h.zone}} {
		if f.value == "" {
			errs = append(errs, badFlag(f.name, `""`, "a value"))
		}
	}
	if h.heartbeatInterval < 50*time.Millisecond || h.heartbeatInterval > 10*time.Second {
		errs = append(errs, badFlag("heartbeat", h.heartbeatInterval, "50ms to 10s"))
	}
	if h.linkIdleTimeout <= 2*h.heartbeatInterval {
		errs = append(errs, badFlag("silence", h.linkIdleTimeout, "more than twice --heartbeat"))
	}
	if _, err := h.clients.Settings(); err != nil {
		errs = append(errs, err)
	}
	return errs
}

// settingErrors collects the errors of a process's settings.
type settingErrors []error

// add adds errors, and ignores nil.
func (s *settingErrors) add(errs ...error) {
	for _, err := range errs {
		if err != nil {
			*s = append(*s, err)
		}
	}
}

// require adds an error for a flag unless its value is allowed.
func (s *settingErrors) require(ok bool, flag string, value any, allowed string) {
	if !ok {
		*s = append(*s, badFlag(flag, value, allowed))
	}
}

// first returns the first error, or nil.
func (s *settingErrors) first() error {
	if len(*s) == 0 {
		return nil
	}
	return (*s)[0]
}

// identity is the host that a process presents on links, with its TLS credentials.
type identity struct {
	self   host.Host
	tls    *tls.Config
	expiry time.Time
}

// identity reads the host's credentials and creates a new incarnation for the process.
func (h *hostFlags) identity(role host.Role) (identity, error) {
	id := identity{self: host.Host{
		Name:        h.name,
		Incarnation: host.NewIncarnation(),
		Role:        role,
		Location:    zone.Location{Region: h.region, Zone: h.zone, Rack: h.rack},
	}}
	creds, errs := h.credentials()
	if err := errs.first(); err != nil {
		return id, err
	}
	err := id.setCredentials(creds)
	return id, err
}

// setCredentials sets the TLS configuration and the certificate's expiry.
func (id *identity) setCredentials(creds certs.Credentials) error {
	var err error
	if id.tls, err = creds.TLSConfig(); err != nil {
		return err
	}
	id.expiry, err = creds.Expiry()
	return err
}

// credentialProblems returns an error for each reason for which the process can't use its
// credentials.
func (h *hostFlags) credentialProblems() []error {
	creds, errs := h.credentials()
	if len(errs) == 0 {
		id := identity{}
		errs.add(id.setCredentials(creds))
	}
	return errs
}

// credentials reads the authority's certificate and the host's certificate and key.
func (h *hostFlags) credentials() (certs.Credentials, settingErrors) {
	creds := certs.Credentials{}
	var errs settingErrors
	for _, f := range []struct {
		flag   string
		value  string
		target *[]byte
	}{
		{"authority", h.authority, &creds.AuthorityPEM},
		{"certificate", h.certificate, &creds.CertPEM},
		{"key", h.key, &creds.KeyPEM},
	} {
		data, err := readPEM(f.flag, f.value)
		errs.add(err)
		*f.target = data
	}
	return creds, errs
}

// readPEM returns the flag's value if it is PEM text, and otherwise reads the file at that
// path.
func readPEM(flag, value string) ([]byte, error) {
	if value == "" {
		return nil, badFlag(flag, `""`, "PEM text or a file's path")
	}
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	data, err := os.ReadFile(value)
	if err != nil {
		return nil, errors.Annotatef(err, "--%s", flag)
	}
	return data, nil
}

func checkAddress(flag, value string) error {
	name, _, err := net.SplitHostPort(value)
	if err != nil || (name != "" && net.ParseIP(name) == nil) {
		return badFlag(flag, value, "an IP address and a port, such as 10.0.0.1:7400")
	}
	return nil
}

func checkAddresses(flag string, values []string) []error {
	var errs settingErrors
	for _, v := range values {
		errs.add(checkAddress(flag, v))
	}
	return errs
}

func checkURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return badFlag(flag, value, "a base URL, such as http://10.0.0.9:7300")
	}
	return nil
}

func millis(d time.Duration) clock.Millis {
	return clock.FromDuration(d)
}
