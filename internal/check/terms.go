package check

import (
	"fmt"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// TermsInput is what a check of terms needs.
type TermsInput struct {
	File  string
	Terms *contr.Terms
	// InForce are the terms to compare with, or nil.
	InForce *contr.Terms
}

// Terms checks terms. The fields of the findings are paths such as queues[2].slack_ms; the
// caller sets the lines, which depend on the form that the terms were decoded from.
func Terms(in TermsInput) Report {
	r := Report{}
	for _, err := range in.Terms.CheckAll() {
		r.Add(rejection(RuleValue, in.File, 0, err.Path, err.Reason))
	}
	if in.InForce != nil {
		r.Comparison = compareTerms(in.InForce, in.Terms)
		checkNewer(in, &r)
	}
	for _, rule := range termsRules {
		for _, h := range rule.find(in.Terms) {
			r.Add(Finding{Severity: SeverityWarning, Rule: rule.Name, File: in.File, Field: h.field, Problem: h.problem, Want: h.want})
		}
	}
	r.DropRepeated()
	return r
}

// checkNewer reports terms that differ from those in force but do not replace them.
func checkNewer(in TermsInput, r *Report) {
	if in.Terms.NewerThan(in.InForce) || len(r.Comparison.Changes) == 0 {
		return
	}
	r.Add(Finding{Severity: SeverityError, Rule: RuleVersion, File: in.File, Field: "version",
		Problem: fmt.Sprintf("%d is not above %d, the version in force, so that version is kept", in.Terms.Version, in.InForce.Version),
		Want:    fmt.Sprintf("%d or more", in.InForce.Version+1)})
}
