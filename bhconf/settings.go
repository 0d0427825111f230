package bhconf

// Role is the function of a daemon.
type Role string

// Roles of daemons.
const (
	// RoleEntry is the role of a daemon that accepts callers' requests.
	RoleEntry Role = "entry"
	// RoleSidecar is the role of a daemon in front of the upstreams of its host.
	RoleSidecar Role = "sidecar"
)

// Settings configure one daemon, such as its role, its host and its addresses.
// Everything else is in the fleet's Config.
type Settings struct {
	Role Role `json:"role"`
	// Host is the unique name of the host.
	Host string `json:"host"`
	// Centre is the data centre of the host.
	Centre string `json:"centre"`
	// Listen is the address for callers' requests. Only entries have it.
	Listen string `json:"listen,omitempty"`
	// Link is the address for links from other daemons.
	Link string `json:"link"`
	// Admin is the address of the operators' API, metrics and health check.
	Admin string `json:"admin"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// Secrets are the fleet secrets. The daemon accepts and offers all of them,
	// so that they can be rotated one at a time.
	Secrets []string `json:"secrets"`
	// Operators are those who may use the operators' API. If there are none, the
	// API accepts a fleet secret as token.
	Operators []Operator `json:"operators,omitempty"`
	// Log is the lowest level that is logged: debug, info, warn or error.
	Log string `json:"log,omitempty"`
	// Drain limits the duration of a graceful shutdown; zero means
	// DefaultDrainTimeout.
	Drain Duration `json:"drain,omitzero"`
}

// Operator is a person or program that may use the operators' API.
type Operator struct {
	Name string `json:"name"`
	// Digest is "sha256:" and the lower-case hexadecimal SHA-256 of the
	// operator's token.
	Digest string `json:"digest"`
}
