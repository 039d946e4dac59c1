// Package check examines a configuration before it is sent: what the system would reject, what
// never takes effect, what contradicts itself, and what changes for callers. Errors come from
// the parsers and validators of package contr; the rules of this package only warn. The package
// does no I/O.
package check

import (
	"cmp"
	"slices"
	"strings"
)

// Severity says whether the system accepts a configuration in spite of a finding.
type Severity string

// The severities of findings.
const (
	// SeverityError means that the system rejects the configuration.
	SeverityError Severity = "error"
	// SeverityWarning means that the system accepts it, with an effect that is probably not intended.
	SeverityWarning Severity = "warning"
)

// The rules of findings that are errors.
const (
	// RuleFile means that a file can't be read.
	RuleFile = "file"
	// RuleDecode means that a text is not understood.
	RuleDecode = "decode"
	// RuleValue means that a value is not allowed.
	RuleValue = "value"
	// RuleAmendment means that an amendment is refused, although its text is valid.
	RuleAmendment = "amendment"
	// RuleVersion means that a configuration does not replace the one in force.
	RuleVersion = "version"
)

// Finding is one error or warning.
type Finding struct {
	Severity Severity `json:"severity"`
	// Rule is the name of a rule, or one of the names above.
	Rule string `json:"rule"`
	File string `json:"file"`
	// Line is zero if the finding concerns no line.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, such as kinds[1].share, and may be empty. Lists count
	// from zero.
	Field string `json:"field,omitempty"`
	// Problem says what is wrong, and Want what would be correct. Fields that they name are in
	// backticks.
	Problem string `json:"problem"`
	Want    string `json:"want"`
}

// maxFindings bounds the findings of a report, and so its memory.
const maxFindings = 1000

// Report is the outcome of a check.
type Report struct {
	// Findings are at most maxFindings, ordered by file and line after Sort.
	Findings []Finding `json:"findings"`
	// Omitted is the number of findings beyond that.
	Omitted int `json:"omitted,omitempty"`
	// Comparison is nil if nothing was compared.
	Comparison *Comparison `json:"comparison,omitempty"`
}

// Add adds findings.
func (r *Report) Add(findings ...Finding) {
	for _, f := range findings {
		if len(r.Findings) == maxFindings {
			r.Omitted++
			continue
		}
		r.Findings = append(r.Findings, f)
	}
}

// Merge adds the findings and the comparison of another report.
func (r *Report) Merge(other Report) {
	r.Add(other.Findings...)
	r.Omitted += other.Omitted
	if other.Comparison != nil {
		r.Comparison = other.Comparison
	}
}

// Sort orders the findings by file, line and field.
func (r *Report) Sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
}

// DropRepeated removes the warnings on fields that have an error, which would repeat it.
func (r *Report) DropRepeated() {
	type place struct{ file, field string }
	wrong := map[place]bool{}
	for _, f := range r.Findings {
		if f.Severity == SeverityError && f.Field != "" {
			wrong[place{f.File, f.Field}] = true
		}
	}
	r.Findings = slices.DeleteFunc(r.Findings, func(f Finding) bool {
		return f.Severity == SeverityWarning && wrong[place{f.File, f.Field}]
	})
}

// Count returns the number of findings of a severity. Omitted findings are counted as warnings,
// because each check adds its errors first.
func (r *Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	if s == SeverityWarning {
		n += r.Omitted
	}
	return n
}

// rejection returns the finding for a value that a validator of package contr rejected. Its reason
// has the form "problem; want correction" or "want correction".
func rejection(rule, file string, line int, field, reason string) Finding {
	f := Finding{Severity: SeverityError, Rule: rule, File: file, Line: line, Field: field}
	f.Problem, f.Want = splitReason(reason)
	return f
}

// splitReason splits a validator's reason into what is wrong and what would be correct.
func splitReason(reason string) (problem, want string) {
	if want, ok := strings.CutPrefix(reason, "want "); ok {
		return "the value is missing or not allowed", want
	}
	problem, want, _ = strings.Cut(reason, "; want ")
	return problem, want
}

// DecodeError returns the finding for a text that the decoder rejected.
func DecodeError(file string, line int, field, reason, want string) Finding {
	return Finding{Severity: SeverityError, Rule: RuleDecode, File: file, Line: line, Field: field, Problem: reason, Want: want}
}

// FileError returns the finding for a file that can't be read.
func FileError(file string, err error) Finding {
	return Finding{Severity: SeverityError, Rule: RuleFile, File: file, Problem: err.Error(), Want: "a readable file"}
}

// SettingError returns the finding for a setting that a process rejects.
func SettingError(file, flag, problem, want string) Finding {
	return Finding{Severity: SeverityError, Rule: RuleValue, File: file, Field: flag, Problem: problem, Want: want}
}
