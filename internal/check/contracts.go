package check

import (
	"maps"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// File is one file of contracts.
type File struct {
	Name string
	Text []byte
}

// Facts are what is known of the system that a contract is sent to.
type Facts struct {
	// Slots is the number of slots of all upstreams, or zero if unknown.
	Slots int
	// MaxJobTasks is the largest number of tasks in a job that entries take, or zero if unknown.
	MaxJobTasks int
	// Kinds holds the kinds that upstreams serve. It is nil if unknown.
	Kinds map[string]bool
	// ServiceMS holds the mean service time of kinds at the fastest upstream, as measured.
	ServiceMS map[string]float64
}

// ContractsInput is what a check of contracts needs.
type ContractsInput struct {
	Files []File
	// Base is the configuration that the contracts would amend. It is not changed.
	Base []contr.Document
	// BaseVersion is the version of Base, or contr.NoVersion.
	BaseVersion int64
	// Compare adds the differences from Base to the report.
	Compare bool
	Facts   Facts
}

// contractFile is a file whose contract was decoded.
type contractFile struct {
	File
	contract *contr.Contract
	valid    bool
	lines    *contr.Locator
}

// Contracts checks contracts as if they were sent as amendments in the order of the files.
func Contracts(in ContractsInput) Report {
	r := Report{}
	files := parseFiles(in.Files, &r)
	config := contr.NewConfig()
	config.Restore(in.BaseVersion, in.BaseVersion, in.Base)
	before := maps.Clone(config.Contracts)
	amendAll(config, files, &r)
	for _, f := range files {
		checkContract(f, in.Facts, &r)
	}
	checkTogether(config, files, in.Facts, &r)
	if in.Compare {
		r.Comparison = compareContracts(before, files)
	}
	r.DropRepeated()
	r.Sort()
	return r
}

// parseFiles decodes the files and reports their errors. Files that can't be decoded are left
// out.
func parseFiles(files []File, r *Report) []contractFile {
	var out []contractFile
	for _, f := range files {
		c, errs := contr.ParseAll(f.Name, f.Text)
		r.Add(ContractErrors(f.Name, errs)...)
		if c != nil {
			out = append(out, contractFile{File: f, contract: c, valid: len(errs) == 0, lines: contr.NewLocator(f.Text)})
		}
	}
	return out
}

// ContractErrors returns the findings for the errors of the parser.
func ContractErrors(file string, errs []error) []Finding {
	var out []Finding
	for _, err := range errs {
		out = append(out, contractError(file, err))
	}
	return out
}

// contractError returns the finding for an error of the parser.
func contractError(file string, err error) Finding {
	var value *contr.FieldError
	if errors.As(err, &value) {
		return rejection(RuleValue, file, value.Line, value.Field, value.Reason)
	}
	var text *contr.TextError
	if errors.As(err, &text) {
		return DecodeError(file, text.Line, text.Field, text.Reason, "a contract in YAML with the fields of docs/OPERATORS.md")
	}
	return DecodeError(file, 1, "", err.Error(), "a contract in YAML")
}

// amendAll applies the valid contracts to a configuration, each based on the version that was
// in force before the first, and reports those that are refused.
func amendAll(config *contr.Config, files []contractFile, r *Report) {
	bases := map[string]int64{}
	for _, f := range files {
		name := contr.PrefixContract + f.contract.Customer
		if _, seen := bases[name]; !seen {
			bases[name] = config.DocumentVersion(name)
		}
	}
	seen := map[string]bool{}
	for _, f := range files {
		if !f.valid {
			continue
		}
		name := contr.PrefixContract + f.contract.Customer
		v := config.Amend(config.Applied+1, contr.Amendment{Author: f.Name, Base: bases[name], Name: name, Text: string(f.Text)})
		if !v.Accepted {
			want := "tokens that no other customer has"
			if seen[name] {
				want = "one file for each customer"
			}
			r.Add(AmendmentError(f.File, v.Reason, want))
		}
		seen[name] = true
	}
}

// AmendmentError returns the finding for a contract that is refused, although its text is valid.
func AmendmentError(f File, reason, want string) Finding {
	return Finding{Severity: SeverityError, Rule: RuleAmendment, File: f.Name, Line: contr.NewLocator(f.Text).Line("customer"),
		Field: "customer", Problem: reason, Want: want}
}

// checkContract applies the rules to one contract.
func checkContract(f contractFile, facts Facts, r *Report) {
	for _, rule := range contractRules {
		for _, h := range rule.find(f.contract, facts) {
			r.Add(f.warning(rule.Rule, h))
		}
	}
}

// warning returns the finding for what a rule found in a file.
func (f contractFile) warning(rule Rule, h hit) Finding {
	return Finding{Severity: SeverityWarning, Rule: rule.Name, File: f.Name, Line: f.lines.Line(h.field),
		Field: h.field, Problem: h.problem, Want: h.want}
}
