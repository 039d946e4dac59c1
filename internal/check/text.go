package check

import (
	"fmt"
	"strings"
	"unicode"
)

// Text returns the report as plain text, one line for each finding and change.
func (r *Report) Text() string {
	b := &strings.Builder{}
	for _, f := range r.Findings {
		line := fmt.Sprintf("%s: %s: %s%s; want %s [%s]", f.position(), f.Severity, fieldText(f.Field), f.Problem, f.Want, f.Rule)
		fmt.Fprintln(b, printable(line))
	}
	if r.Omitted > 0 {
		fmt.Fprintf(b, "and %d more\n", r.Omitted)
	}
	if r.Comparison != nil {
		b.WriteString(r.Comparison.text())
	}
	fmt.Fprintf(b, "%s, %s\n", plural(r.Count(SeverityError), "error"), plural(r.Count(SeverityWarning), "warning"))
	return b.String()
}

// printable replaces characters that would control a terminal, and makes all white space
// ordinary.
func printable(line string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case unicode.IsSpace(r):
			return ' '
		case unicode.IsPrint(r):
			return r
		}
		return unicode.ReplacementChar
	}, line)
}

// position returns the file and, if it is known, the line.
func (f *Finding) position() string {
	if f.Line == 0 {
		return f.File
	}
	return fmt.Sprintf("%s:%d", f.File, f.Line)
}

func fieldText(field string) string {
	if field == "" {
		return ""
	}
	return field + ": "
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func (c *Comparison) text() string {
	b := &strings.Builder{}
	if c.From != c.To {
		fmt.Fprintf(b, "version %d to %d\n", c.From, c.To)
	}
	if len(c.Changes) == 0 {
		b.WriteString("no difference\n")
	}
	for _, ch := range c.Changes {
		fmt.Fprintln(b, printable(ch.text()))
	}
	return b.String()
}

func (c Change) text() string {
	subject := strings.TrimSpace(c.Object + " " + c.Name)
	switch {
	case c.Field == "":
		return fmt.Sprintf("%s: %s", c.Effect, subject)
	case c.Before == "" && c.After == "":
		return fmt.Sprintf("%s: %s: %s", c.Effect, subject, c.Field)
	default:
		return fmt.Sprintf("%s: %s: %s %s -> %s", c.Effect, subject, c.Field, c.Before, c.After)
	}
}
