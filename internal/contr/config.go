package contr

import (
	"sort"
	"strings"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Document is an accepted contract, retirement of an upstream or host, or drain of a zone.
type Document struct {
	// Name is "contract/CUSTOMER", "upstream/NAME", "host/NAME" or "zone/NAME".
	Name string `json:"name"`
	// Version is the log offset of the amendment that last changed the document.
	Version int64 `json:"version"`
	// Text is the YAML of a contract, or the reason for a retirement or drain.
	Text string `json:"text"`
	// Deleted documents are kept so that a stale amendment can't restore them.
	Deleted bool `json:"deleted,omitempty"`
}

// The prefixes of document names.
const (
	PrefixContract = "contract/"
	PrefixUpstream = "upstream/"
	PrefixHost     = "host/"
)

// NoVersion is the version of a configuration or document before any amendment is
// accepted.
const NoVersion int64 = -1

// Amendment proposes a new version of one document.
type Amendment struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	// Base is the version of the document that the amendment is based on, or NoVersion
	// for a new document.
	Base    int64  `json:"base"`
	Name    string `json:"name"`
	Text    string `json:"text"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Verdict is the outcome of an amendment.
type Verdict struct {
	Amendment Amendment `json:"amendment"`
	// Offset is the log offset of the amendment.
	Offset   int64 `json:"offset"`
	Accepted bool  `json:"accepted"`
	// Reason is empty exactly when Accepted is true.
	Reason string `json:"reason,omitempty"`
}

// maxVerdicts bounds the history of amendments that a process keeps.
const maxVerdicts = 1024

// Config is the configuration in force in one process.
type Config struct {
	// Version is the offset of the last accepted amendment. It never decreases.
	Version int64
	// Documents holds the accepted documents by name, including deleted ones.
	Documents map[string]Document
	// Contracts holds the parsed contracts by customer, without deleted ones.
	Contracts map[string]*Contract
	// Drains is the set of drained zones. Its revision is the version of the document that
	// last changed it.
	Drains zone.Drains
	// Verdicts holds the outcomes of the latest amendments in log order, at most
	// maxVerdicts.
	Verdicts []Verdict
	// Applied is the offset up to which the log is included in the configuration: that of
	// the last amendment accepted or rejected, or the offset that a snapshot or a peer's
	// version covers.
	Applied int64

	customerByTokenHash map[string]string
}

// NewConfig returns an empty configuration.
func NewConfig() *Config {
	c := &Config{Version: NoVersion, Applied: NoVersion}
	c.reset()
	return c
}

func (cf *Config) reset() {
	cf.Documents = map[string]Document{}
	cf.Contracts = map[string]*Contract{}
	cf.customerByTokenHash = map[string]string{}
	cf.Drains = zone.Drains{}
}

// Amend accepts or rejects the amendment at a log offset and applies it if accepted. All
// processes apply the same rules in log order, so they all reach the same verdict.
func (cf *Config) Amend(offset int64, a Amendment) Verdict {
	v := Verdict{Amendment: a, Offset: offset}
	if offset <= cf.Applied {
		v.Reason = "stands before the version in force"
		return v
	}
	cf.Applied = offset
	v.Reason = cf.rejectReason(a)
	v.Accepted = v.Reason == ""
	if v.Accepted {
		cf.Version = offset
		cf.setDocument(Document{Name: a.Name, Version: offset, Text: a.Text, Deleted: a.Deleted})
	}
	cf.recordVerdict(v)
	return v
}

// KnownVerdict returns the verdict on an amendment that the configuration already covers,
// because a peer or a snapshot supplied its outcome before the record was read from the
// log. It returns false if a later amendment of the document hides the outcome.
func (cf *Config) KnownVerdict(offset int64, a Amendment) (Verdict, bool) {
	v := Verdict{Amendment: a, Offset: offset}
	current := cf.DocumentVersion(a.Name)
	if current > offset {
		return v, false
	}
	v.Accepted = current == offset
	if !v.Accepted {
		v.Reason = cf.conflictReason(a, current)
	}
	return v, true
}

// recordVerdict adds a verdict to the history. If the history is full, it drops the older half.
func (cf *Config) recordVerdict(v Verdict) {
	if len(cf.Verdicts) >= maxVerdicts {
		cf.Verdicts = append(cf.Verdicts[:0], cf.Verdicts[maxVerdicts/2:]...)
	}
	cf.Verdicts = append(cf.Verdicts, v)
}

// rejectReason returns the reason to reject a, or "" to accept it.
func (cf *Config) rejectReason(a Amendment) string {
	current := cf.DocumentVersion(a.Name)
	if a.Base != current {
		return cf.conflictReason(a, current)
	}
	if name, isDrain := strings.CutPrefix(a.Name, PrefixZone); isDrain {
		return cf.drainRejectReason(name, a)
	}
	customer, isContract := strings.CutPrefix(a.Name, PrefixContract)
	if !isContract {
		return retirementRejectReason(a.Name)
	}
	if a.Deleted {
		return ""
	}
	return cf.contractRejectReason(customer, a)
}

// conflictReason returns the reason to reject an amendment that is not based on the current
// version, with the author of that version if the history has it.
func (cf *Config) conflictReason(a Amendment, current int64) string {
	reason := errors.Errorf("made from version %d, but version %d is in force", a.Base, current).Error()
	for i := len(cf.Verdicts) - 1; i >= 0; i-- {
		v := cf.Verdicts[i]
		if v.Accepted && v.Offset == current {
			return reason + ", written by " + v.Amendment.Author
		}
	}
	return reason
}

func retirementRejectReason(name string) string {
	for _, p := range []string{PrefixUpstream, PrefixHost} {
		rest, ok := strings.CutPrefix(name, p)
		if ok && namePattern.MatchString(rest) {
			return ""
		}
	}
	return "unknown document " + name
}

func (cf *Config) contractRejectReason(customer string, a Amendment) string {
	c, err := Parse(a.Name, []byte(a.Text))
	if err != nil {
		return err.Error()
	}
	if c.Customer != customer {
		return "customer differs from the document's name"
	}
	for _, hash := range c.Tokens {
		if owner, taken := cf.customerByTokenHash[strings.ToLower(hash)]; taken && owner != customer {
			return "a token belongs to another customer"
		}
	}
	return ""
}

// DocumentVersion returns the version of a document, or NoVersion if there is none.
func (cf *Config) DocumentVersion(name string) int64 {
	d, ok := cf.Documents[name]
	if !ok {
		return NoVersion
	}
	return d.Version
}

// setDocument stores a document. A contract updates the parsed contracts and the tokens, and a drain
// the drained zones. If the text of a contract can't be parsed, the customer has no contract in
// force.
func (cf *Config) setDocument(d Document) {
	cf.Documents[d.Name] = d
	cf.setDrain(d)
	customer, isContract := strings.CutPrefix(d.Name, PrefixContract)
	if !isContract {
		return
	}
	cf.removeContract(customer)
	if d.Deleted {
		return
	}
	c, err := Parse(d.Name, []byte(d.Text))
	if err != nil {
		return
	}
	cf.Contracts[customer] = c
	for _, hash := range c.Tokens {
		cf.customerByTokenHash[strings.ToLower(hash)] = customer
	}
}

func (cf *Config) removeContract(customer string) {
	delete(cf.Contracts, customer)
	for hash, owner := range cf.customerByTokenHash {
		if owner == customer {
			delete(cf.customerByTokenHash, hash)
		}
	}
}

// CustomerByTokenHash returns the customer that owns the token with the given SHA-256 hash
// in lower-case hex.
func (cf *Config) CustomerByTokenHash(tokenHash string) (string, bool) {
	c, ok := cf.customerByTokenHash[tokenHash]
	return c, ok
}

// Retired reports whether an operator has retired the upstream or host. The prefix is
// PrefixUpstream or PrefixHost.
func (cf *Config) Retired(prefix, name string) bool {
	d, ok := cf.Documents[prefix+name]
	return ok && !d.Deleted
}

// Restore replaces the configuration with a snapshot that covers the log up to the offset
// covers. It returns false and changes nothing unless the snapshot covers more of the log
// than has been applied and its version is not older.
func (cf *Config) Restore(covers, version int64, documents []Document) bool {
	if covers <= cf.Applied || version < cf.Version {
		return false
	}
	cf.reset()
	cf.Version = version
	cf.Applied = covers
	for _, d := range documents {
		cf.setDocument(d)
	}
	return true
}

// Advance applies the documents that changed after cf.Version, as sent by a peer that has
// the given version. It is used by agents, which do not read the log, and by entries that
// can't read it at the moment. It returns false and changes nothing if the peer's version is
// not newer.
func (cf *Config) Advance(version int64, changed []Document) bool {
	if version <= cf.Version {
		return false
	}
	for _, d := range changed {
		cf.setDocument(d)
	}
	cf.Version = version
	cf.Applied = max(cf.Applied, version)
	return true
}

// ChangedSince returns the documents that changed after a version, sorted by name.
func (cf *Config) ChangedSince(version int64) []Document {
	var ds []Document
	for _, d := range cf.SortedDocuments() {
		if d.Version > version {
			ds = append(ds, d)
		}
	}
	return ds
}

// SortedDocuments returns all documents, sorted by name.
func (cf *Config) SortedDocuments() []Document {
	ds := make([]Document, 0, len(cf.Documents))
	for _, d := range cf.Documents {
		ds = append(ds, d)
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i].Name < ds[j].Name })
	return ds
}
