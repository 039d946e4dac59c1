package check

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// maxFieldDepth is the depth, in objects and lists, to which WalkFields reports fields.
const maxFieldDepth = 4

// maxPathBytes is the longest path of an object or list whose fields WalkFields reports. Each
// field has a copy of the path.
const maxPathBytes = 256

// WalkFields calls visit for each field and list element of a JSON text with its path, such as
// queues[2].name, its own name, which is empty for elements, and its line. It only finds
// positions, which decoders of messages do not report, and ends at the first syntax error.
func WalkFields(text []byte, visit func(path, name string, line int)) {
	w := &fieldWalk{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), visit: visit, line: 1}
	for w.step() {
	}
}

// fieldWalk is the state of one walk.
type fieldWalk struct {
	text    []byte
	decoder *json.Decoder
	visit   func(path, name string, line int)
	// levels are the open objects and lists, at most maxFieldDepth.
	levels []level
	// depth is the number of open objects and lists.
	depth int
	// line is the line of the byte at offset, counted so far.
	line   int
	offset int64
}

// level is an open object or list.
type level struct {
	path   string
	isList bool
	// next is the index of a list's next element.
	next int
	// hasKey is set if an object's next token is the value of a key, whose path is valuePath.
	hasKey    bool
	valuePath string
}

// step reads one token, and returns false at the end.
func (w *fieldWalk) step() bool {
	t, err := w.decoder.Token()
	if err != nil {
		return false
	}
	d, isDelim := t.(json.Delim)
	if isDelim && (d == '}' || d == ']') {
		w.close()
		return true
	}
	if w.depth > len(w.levels) {
		w.open(isDelim, d, "")
		return true
	}
	path, isValue := w.visitToken(t)
	if isValue {
		w.open(isDelim, d, path)
	}
	return true
}

// visitToken reports a key or a list's element. It returns the path of a value, or false for a key.
func (w *fieldWalk) visitToken(t json.Token) (string, bool) {
	if len(w.levels) == 0 {
		return "", true
	}
	l := &w.levels[len(w.levels)-1]
	switch {
	case l.isList:
		path := fmt.Sprintf("%s[%d]", l.path, l.next)
		l.next++
		w.visit(path, "", w.currentLine())
		return path, true
	case l.hasKey:
		l.hasKey = false
		return l.valuePath, true
	default:
		name := fmt.Sprint(t)
		l.valuePath, l.hasKey = name, true
		if l.path != "" {
			l.valuePath = l.path + "." + name
		}
		w.visit(l.valuePath, name, w.currentLine())
		return "", false
	}
}

// open begins an object or a list, if the value is one.
func (w *fieldWalk) open(isDelim bool, d json.Delim, path string) {
	if !isDelim {
		return
	}
	inVisited := w.depth == len(w.levels)
	w.depth++
	if inVisited && w.depth <= maxFieldDepth && len(path) <= maxPathBytes {
		w.levels = append(w.levels, level{path: path, isList: d == '['})
	}
}

func (w *fieldWalk) close() {
	if w.depth == len(w.levels) {
		w.levels = w.levels[:len(w.levels)-1]
	}
	w.depth--
}

// currentLine returns the line of the token that was read last.
func (w *fieldWalk) currentLine() int {
	end := w.decoder.InputOffset()
	w.line += bytes.Count(w.text[w.offset:end], []byte("\n"))
	w.offset = end
	return w.line
}

// Lines returns the lines of the given paths in a JSON text, without those that are missing.
func Lines(text []byte, paths []string) map[string]int {
	wanted := make(map[string]bool, len(paths))
	for _, p := range paths {
		wanted[p] = true
	}
	lines := make(map[string]int, len(paths))
	if len(paths) == 0 {
		return lines
	}
	WalkFields(text, func(path, _ string, line int) {
		if _, known := lines[path]; !known && wanted[path] {
			lines[path] = line
		}
	})
	return lines
}
