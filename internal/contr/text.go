package contr

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"
)

// maxNesting bounds the nesting of a contract's text. The decoder's memory grows with the
// square of the nesting: 64 KiB of opening brackets took 8 GB.
const maxNesting = 32

// maxExcerptLine is the longest line, in bytes, of a text that errors quote. The decoder takes
// seconds to quote a line of 64 KiB.
const maxExcerptLine = 1000

// TextError reports a text that can't be decoded.
type TextError struct {
	File string
	// Line is the line of the error, or 1 if it concerns the text as a whole.
	Line int
	// Field is the name of an unknown field, and empty for all other errors.
	Field string
	// Reason is one line.
	Reason string
	// Detail is the reason with its position, and with the lines around it if these are short.
	Detail string
}

// Error returns the file and the detail.
func (e *TextError) Error() string {
	return fmt.Sprintf("parse contract %s: %s", e.File, e.Detail)
}

// checkText returns an error for a text that is too long, or nested too deeply, to be decoded.
func checkText(file string, text []byte) error {
	if len(text) > MaxTextBytes {
		return plainTextError(file, 1, fmt.Sprintf("the text is over the limit of %d bytes", MaxTextBytes))
	}
	if line := deepLine(text); line > 0 {
		return plainTextError(file, line, fmt.Sprintf("nested deeper than %d levels", maxNesting))
	}
	return nil
}

func plainTextError(file string, line int, reason string) *TextError {
	return &TextError{File: file, Line: line, Reason: reason, Detail: reason}
}

// newTextError returns the error for a text that the decoder rejected.
func newTextError(file string, text []byte, err error) *TextError {
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return plainTextError(file, 1, firstLine(err.Error()))
	}
	e := &TextError{File: file, Line: 1, Reason: firstLine(positioned.GetMessage())}
	e.Detail = positioned.FormatError(false, longestLine(text) <= maxExcerptLine)
	t := positioned.GetToken()
	if t == nil {
		return e
	}
	e.Line = t.Position.Line
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		e.Field = t.Value
	}
	return e
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// longestLine returns the length of the longest line in bytes.
func longestLine(text []byte) int {
	longest := 0
	for line := range bytes.Lines(text) {
		longest = max(longest, len(line))
	}
	return longest
}

// deepLine returns the first line at which the text is nested deeper than maxNesting, or 0. Entries
// of sequences and keys nest without brackets if they follow each other on one line. Nesting by
// indentation stays shallow, because each level lengthens all lines below it.
func deepLine(text []byte) int {
	brackets, onLine, line := 0, 0, 0
	for _, t := range lexer.Tokenize(string(text)) {
		if t.Position.Line != line {
			line, onLine = t.Position.Line, 0
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			brackets++
		case token.SequenceEndType, token.MappingEndType:
			brackets--
		case token.SequenceEntryType, token.MappingKeyType:
			onLine++
		}
		if brackets > maxNesting || onLine > maxNesting {
			return line
		}
	}
	return 0
}

// Locator finds the lines of fields in a contract's text, which it parses once.
type Locator struct {
	file *ast.File
}

// NewLocator returns a locator for a text that checkText and the decoder accept.
func NewLocator(text []byte) *Locator {
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		return &Locator{}
	}
	return &Locator{file: f}
}

// Line returns the line of a field. For a missing field it returns the line of the nearest
// enclosing field that is present in the text, or 1 if there is none.
func (l *Locator) Line(path string) int {
	for path != "" {
		if line := l.exactLine(path); line > 0 {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}

// exactLine returns the line of a field, or 0 if the field is missing.
func (l *Locator) exactLine(path string) int {
	p, err := yaml.PathString("$." + path)
	if err != nil || l.file == nil {
		return 0
	}
	n, err := p.FilterFile(l.file)
	if err != nil || n.GetToken() == nil {
		return 0
	}
	return n.GetToken().Position.Line
}
