package contr

import (
	"strings"

	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// Customer returns the customer whose contract the document is, or false if it is not a
// contract.
func (d Document) Customer() (string, bool) {
	return strings.CutPrefix(d.Name, PrefixContract)
}

// DecodeDocuments decodes the documents of a configuration message.
func DecodeDocuments(m *wire.Config) []Document {
	ds := make([]Document, 0, len(m.GetDocuments()))
	for _, d := range m.GetDocuments() {
		ds = append(ds, Document{
			Name:    d.GetName(),
			Version: d.GetVersion(),
			Text:    d.GetText(),
			Deleted: d.GetDeleted(),
		})
	}
	return ds
}

// EncodeConfig encodes the documents of a configuration version.
func EncodeConfig(version int64, documents []Document) *wire.Config {
	m := &wire.Config{Version: version}
	for _, d := range documents {
		m.Documents = append(m.Documents, &wire.Document{
			Name:    d.Name,
			Version: d.Version,
			Text:    d.Text,
			Deleted: d.Deleted,
		})
	}
	return m
}
