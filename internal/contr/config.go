package contr

import (
	"sort"
	"strings"

	"github.com/juju/errors"
)

// Document is one contract or one retirement, as it was accepted.
type Document struct {
	// Name is "contract/CUSTOMER", "upstream/NAME" or "host/NAME".
	Name string `json:"name"`
	// Version is the log offset of the amendment that set it.
	Version int64 `json:"version"`
	// Text is the YAML of a contract, or the reason of a retirement.
	Text string `json:"text"`
	// Deleted documents are kept, so that a stale amendment can't revive them.
	Deleted bool `json:"deleted,omitempty"`
}

// The prefixes of document names.
const (
	PrefixContract = "contract/"
	PrefixUpstream = "upstream/"
	PrefixHost     = "host/"
)

// NoVersion is the version of a book, or the base of a document, before any
// amendment.
const NoVersion int64 = -1

// Amendment proposes one document.
type Amendment struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	// Base is the version of the document that the amendment was made from, or
	// NoVersion for a new one.
	Base    int64  `json:"base"`
	Name    string `json:"name"`
	Text    string `json:"text"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Verdict is what became of an amendment.
type Verdict struct {
	Amendment Amendment `json:"amendment"`
	// Offset is where the amendment stands on the log.
	Offset   int64 `json:"offset"`
	Accepted bool  `json:"accepted"`
	// Reason is empty exactly when Accepted is true.
	Reason string `json:"reason,omitempty"`
}

// maxVerdicts bounds the history that a process remembers.
const maxVerdicts = 1024

// Config is the configuration in force in one process.
type Config struct {
	// Version is the offset of the last accepted amendment; it never decreases.
	Version int64
	// Documents holds accepted documents by name.
	Documents map[string]Document
	// Contracts holds the parsed contract of every document that is not deleted.
	Contracts map[string]*Contract
	// Verdicts holds the latest amendments in log order, bounded.
	Verdicts []Verdict
	// Applied is the offset of the last record that was applied.
	Applied int64

	customerByToken map[string]string
}

// NewConfig returns an empty configuration.
func NewConfig() *Config {
	b := &Config{Version: NoVersion, Applied: NoVersion}
	b.reset()
	return b
}

func (b *Config) reset() {
	b.Documents = map[string]Document{}
	b.Contracts = map[string]*Contract{}
	b.customerByToken = map[string]string{}
}

// Amend applies one amendment at its log offset. Every reader applies the same
// rule in log order, so all reach the same verdict.
func (b *Config) Amend(offset int64, a Amendment) Verdict {
	v := Verdict{Amendment: a, Offset: offset}
	if offset <= b.Applied {
		v.Reason = "stands before the version in force"
		return v
	}
	b.Applied = offset
	v.Reason = b.refusal(a)
	v.Accepted = v.Reason == ""
	if v.Accepted {
		b.Version = offset
		b.set(Document{Name: a.Name, Version: offset, Text: a.Text, Deleted: a.Deleted})
	}
	b.remember(v)
	return v
}

// KnownVerdict returns the verdict on an amendment that the book already includes, because
// a peer or a snapshot told its outcome before the record was read. It reports false
// when a later amendment of the document hides the outcome.
func (b *Config) KnownVerdict(offset int64, a Amendment) (Verdict, bool) {
	v := Verdict{Amendment: a, Offset: offset}
	current := b.DocumentVersion(a.Name)
	if current > offset {
		return v, false
	}
	v.Accepted = current == offset
	if !v.Accepted {
		v.Reason = b.raceReason(a, current)
	}
	return v, true
}

func (b *Config) remember(v Verdict) {
	if len(b.Verdicts) >= maxVerdicts {
		b.Verdicts = append(b.Verdicts[:0], b.Verdicts[maxVerdicts/2:]...)
	}
	b.Verdicts = append(b.Verdicts, v)
}

// refusal returns why a would be refused now, or "".
func (b *Config) refusal(a Amendment) string {
	current := b.DocumentVersion(a.Name)
	if a.Base != current {
		return b.raceReason(a, current)
	}
	customer, isContract := strings.CutPrefix(a.Name, PrefixContract)
	if !isContract {
		return retirementRefusal(a.Name)
	}
	if a.Deleted {
		return ""
	}
	return b.contractRefusal(customer, a)
}

func (b *Config) raceReason(a Amendment, current int64) string {
	reason := errors.Errorf("made from version %d, but version %d is in force", a.Base, current).Error()
	for i := len(b.Verdicts) - 1; i >= 0; i-- {
		v := b.Verdicts[i]
		if v.Accepted && v.Offset == current {
			return reason + ", written by " + v.Amendment.Author
		}
	}
	return reason
}

func retirementRefusal(name string) string {
	for _, p := range []string{PrefixUpstream, PrefixHost} {
		rest, ok := strings.CutPrefix(name, p)
		if ok && namePattern.MatchString(rest) {
			return ""
		}
	}
	return "unknown document " + name
}

func (b *Config) contractRefusal(customer string, a Amendment) string {
	c, err := Parse(a.Name, []byte(a.Text))
	if err != nil {
		return err.Error()
	}
	if c.Customer != customer {
		return "customer differs from the document's name"
	}
	for _, t := range c.Tokens {
		if owner, taken := b.customerByToken[strings.ToLower(t)]; taken && owner != customer {
			return "a token belongs to another customer"
		}
	}
	return ""
}

// DocumentVersion returns the version of a document, or NoVersion.
func (b *Config) DocumentVersion(name string) int64 {
	d, ok := b.Documents[name]
	if !ok {
		return NoVersion
	}
	return d.Version
}

func (b *Config) set(d Document) {
	b.Documents[d.Name] = d
	customer, isContract := strings.CutPrefix(d.Name, PrefixContract)
	if !isContract {
		return
	}
	b.forget(customer)
	if d.Deleted {
		return
	}
	c, err := Parse(d.Name, []byte(d.Text))
	if err != nil {
		return
	}
	b.Contracts[customer] = c
	for _, t := range c.Tokens {
		b.customerByToken[strings.ToLower(t)] = customer
	}
}

func (b *Config) forget(customer string) {
	delete(b.Contracts, customer)
	for t, owner := range b.customerByToken {
		if owner == customer {
			delete(b.customerByToken, t)
		}
	}
}

// CustomerByTokenHash returns whose token has the given SHA-256 hash in hex.
func (b *Config) CustomerByTokenHash(tokenHash string) (string, bool) {
	c, ok := b.customerByToken[tokenHash]
	return c, ok
}

// Retired reports whether an operator has retired the upstream or host.
func (b *Config) Retired(prefix, name string) bool {
	d, ok := b.Documents[prefix+name]
	return ok && !d.Deleted
}

// Restore replaces the book by a snapshot that covers the log up to an offset.
// A snapshot that is not newer changes nothing, and false is returned.
func (b *Config) Restore(covers, version int64, documents []Document) bool {
	if covers <= b.Applied || version < b.Version {
		return false
	}
	b.reset()
	b.Version = version
	b.Applied = covers
	for _, d := range documents {
		b.set(d)
	}
	return true
}

// Advance takes from a peer the documents that changed after this book's version,
// for a process that does not read the log at present. A peer that is not ahead
// changes nothing, and false is returned.
func (b *Config) Advance(version int64, changed []Document) bool {
	if version <= b.Version {
		return false
	}
	for _, d := range changed {
		b.set(d)
	}
	b.Version = version
	b.Applied = max(b.Applied, version)
	return true
}

// ChangedSince returns the documents that changed after a version, by name.
func (b *Config) ChangedSince(version int64) []Document {
	var ds []Document
	for _, d := range b.SortedDocuments() {
		if d.Version > version {
			ds = append(ds, d)
		}
	}
	return ds
}

// SortedDocuments returns all documents by name.
func (b *Config) SortedDocuments() []Document {
	ds := make([]Document, 0, len(b.Documents))
	for _, d := range b.Documents {
		ds = append(ds, d)
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i].Name < ds[j].Name })
	return ds
}
