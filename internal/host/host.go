// Package host describes the machines that run processes of the system.
package host

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Role is what a process of the system does.
type Role string

// The roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Host is one running process and the machine it stands on.
type Host struct {
	// Name is unique within the deployment and stands in the host's certificate.
	Name string `json:"name"`
	// Incarnation is random and new at each start: a process that comes back under
	// an old one could start a key a second time.
	Incarnation string `json:"incarnation"`
	// Role never changes while the process runs.
	Role Role `json:"role"`
	// Location comes from the process's settings.
	Location zone.Location `json:"place"`
	// Address is where other processes reach its links, as IP and port; empty for
	// a process that only dials.
	Address string `json:"address,omitempty"`
}

// incarnationBytes makes a collision over all starts of a deployment improbable.
const incarnationBytes = 12

// NewIncarnation returns a fresh incarnation id.
func NewIncarnation() string {
	b := make([]byte, incarnationBytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}
