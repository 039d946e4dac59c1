package report

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/check"
	"github.com/turmericbarrow/turmericbarrow/internal/daemon"
)

// WriteSettings writes the report on the settings of a process, and returns the ExitStatus that
// it calls for, or nil.
func WriteSettings(out io.Writer, process string, errs []error) error {
	o := Options{Output: formatText}
	return o.Write(out, settings(process, errs))
}

// settings returns the report on the settings of a process. Each error is a finding.
func settings(process string, errs []error) check.Report {
	r := check.Report{}
	for _, err := range errs {
		var flag *daemon.FlagError
		if errors.As(err, &flag) {
			r.Add(check.SettingError(process, "--"+flag.Name, fmt.Sprintf("%v is not allowed", flag.Value), flag.Allowed))
			continue
		}
		r.Add(check.SettingError(process, "", err.Error(), "a value that the process can use"))
	}
	return r
}
