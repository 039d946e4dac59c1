package check

import (
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// Rule is the name of a rule with its reason, as docs/OPERATORS.md lists them.
type Rule struct {
	Name string
	// Reason says what the system does with a configuration that the rule warns of.
	Reason string
}

// hit is a place at which a rule warns.
type hit struct {
	field   string
	problem string
	want    string
}

// contractRule warns of a contract. The contract may violate constraints.
type contractRule struct {
	Rule
	find func(*contr.Contract, Facts) []hit
}

// termsRule warns of terms. The terms may have values out of range.
type termsRule struct {
	Rule
	find func(*contr.Terms) []hit
}

// Rules returns all rules in the order of their application.
func Rules() []Rule {
	var out []Rule
	for _, r := range contractRules {
		out = append(out, r.Rule)
	}
	out = append(out, floorsOverSlots)
	for _, r := range termsRules {
		out = append(out, r.Rule)
	}
	return append(out, FieldMisspelt, NumberCut)
}
