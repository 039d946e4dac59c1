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

// FieldMisspelt is the rule for names of fields that are unknown and resemble a known one.
// Decoders that ignore unknown fields ignore these too.
var FieldMisspelt = Rule{"field_misspelt", "an unknown field is ignored, and the one that is meant keeps its default"}

// NumberCut is the rule for whole numbers that are given with a fraction, or below the least that
// is used. Decoders that convert them report nothing.
var NumberCut = Rule{"number_cut", "a number is used without its fraction, and attempts below 1 as 1"}

// Rules returns all rules in the order of docs/OPERATORS.md.
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
