package bhentry

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhmetric"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// newPrompts returns the registry of the parts of prompts that crash engines. Sidecars
// report crashes, so that none has to be confirmed.
func newPrompts(mesh *bhmesh.Mesh, metrics *bhmetric.Metrics, logger bhlog.Logger) *bhevidence.Registry {
	prompts := bhevidence.New(bhevidence.Config{
		Peers:   &entryPeers{mesh: mesh, logger: logger},
		Refuses: func(context.Context, string) bool { return true },
		Logger:  logger,
		Scope:   metrics.Scope,
	})
	mesh.Handle(bhwire.KindLosses, func(_ bhwire.Hello, frame bhwire.Frame) error {
		prompts.Receive(frame)
		return nil
	})
	return prompts
}

// entryPeers reaches all other entries over the mesh. It implements bhevidence.Peers. An
// entry grants its trials itself.
type entryPeers struct {
	mesh   *bhmesh.Mesh
	logger bhlog.Logger
}

// Order implements bhevidence.Peers.
func (p *entryPeers) Order(string) []netip.AddrPort { return nil }

// All implements bhevidence.Peers: one address stands for all entries.
func (p *entryPeers) All() []netip.AddrPort { return make([]netip.AddrPort, 1) }

// Tell implements bhevidence.Peers.
func (p *entryPeers) Tell(kind bhwire.Kind, message any, _ ...netip.AddrPort) {
	frame, err := bhwire.Encode(kind, 0, message)
	if err != nil {
		bhlog.Trace(p.logger, "crash.unsent", "kind", kind, "err", err)
		return
	}
	p.mesh.Broadcast(string(bhconf.RoleEntry), frame)
}

// Ask implements bhevidence.Peers.
func (p *entryPeers) Ask(context.Context, time.Duration, bhwire.Kind, any, ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame {
	return nil
}

// promptTraits returns the traits of a chat's prompt: all of its messages, and those but
// the last as parts that others may share. Sidecars count its content.
func promptTraits(account string, request bhchat.Request) bhcrash.Traits {
	prompt := strconv.Quote(request.Model)
	var parts []string
	for _, message := range request.Messages {
		prompt += strconv.Quote(message.Role) + strconv.Quote(message.Content)
		parts = append(parts, message.Role+"\x00"+message.Content)
	}
	traits := bhcrash.Content{Account: account, Prompt: prompt, Parts: parts[:max(0, len(parts)-1)]}.Traits()
	traits.Content = ""
	return traits
}

// promptRun is an attempt of a chat that may show that a part of its prompt crashes
// engines.
type promptRun struct {
	prompts *bhevidence.Registry
	traits  bhcrash.Traits
	permit  *bhevidence.Permit
	sentAt  time.Time
}

// crashed records that the upstream of a sidecar's host crashed.
func (r *promptRun) crashed(ctx context.Context, peer bhwire.Hello, upstream string) {
	r.prompts.Lost(ctx, bhevidence.Loss{
		Traits: r.traits, Upstream: bhcrash.Source{Host: peer.Host + "/" + upstream, Incarnation: peer.Incarnation}, SentAt: r.sentAt, Permit: r.permit,
	})
	r.permit = nil
}

// finish records the outcome of the attempt.
func (r *promptRun) finish(err error) {
	if err == nil {
		r.prompts.Whole(r.traits)
		return
	}
	r.permit.Return()
}
