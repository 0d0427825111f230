package bhconf

// Role is what a process does.
type Role string

// Roles of daemons.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Settings configure one daemon. They name its place and its addresses; all
// else comes with the configuration.
type Settings struct {
	Role Role `json:"role"`
	// Host is the unique name of the host.
	Host string `json:"host"`
	// Centre is the data centre of the host.
	Centre string `json:"centre"`
	// Listen is the address for callers; entries only.
	Listen string `json:"listen,omitempty"`
	// Link is the address for links from other daemons.
	Link string `json:"link"`
	// Admin is the address of the operators' API, metrics and health.
	Admin string `json:"admin"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// Secrets are the fleet secrets. All are accepted and all are offered, so
	// that they can be rotated one at a time.
	Secrets []string `json:"secrets"`
	// Operators may use the operators' API. With none, a fleet secret opens it.
	Operators []Operator `json:"operators,omitempty"`
	// Log is the lowest level logged: debug, info, warn or error.
	Log string `json:"log,omitempty"`
	// Drain bounds a graceful stop; zero means DefaultDrain.
	Drain Duration `json:"drain,omitzero"`
}

// Operator is a person or program that may use the operators' API.
type Operator struct {
	Name string `json:"name"`
	// Digest is "sha256:" and the hexadecimal SHA-256 of the operator's token.
	Digest string `json:"digest"`
}
