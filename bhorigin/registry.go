package bhorigin

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// copies is the number of gateways, besides the one that relays a stream, that
	// remember its origin.
	copies = 2
	// firstAsked is the number of gateways that are asked first for an origin: those
	// with a copy, and one more since the order may have changed meanwhile. They
	// answer within firstWait, which covers a few round trips between data centres
	// of a region.
	firstAsked = copies + 1
	firstWait  = 10 * time.Millisecond
	// widerAsked is the number that are asked if none of the first knows it, for
	// widerWait. Then datagrams were lost, or gateways were replaced.
	widerAsked = 12
	widerWait  = 40 * time.Millisecond
)

// Peers gives access to the other gateways of the fleet.
type Peers interface {
	// Order returns the gateways in an order that depends on the key and is the same
	// at all gateways that know the same ones. An invalid address stands for this
	// gateway.
	Order(key string) []netip.AddrPort
	// Tell sends a frame to the peers, without a confirmation.
	Tell(kind bhwire.Kind, message any, peers ...netip.AddrPort)
	// Ask sends a frame to the peers and returns the answers that arrive within the
	// wait.
	Ask(ctx context.Context, wait time.Duration, kind bhwire.Kind, message any, peers ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame
}

// PeerGateways reaches the other gateways through a datagram socket. It implements
// Peers.
type PeerGateways struct {
	*bhpeer.Directory
	*bhpeer.Socket
}

// Config configures a Registry.
type Config struct {
	// Peers are the other gateways; nil if there are none.
	Peers  Peers
	Clock  bhclock.Clock
	Logger bhlog.Logger
	Scope  tally.Scope
}

// Registry records the origins of streams at several gateways. It is safe for
// concurrent use.
type Registry struct {
	config Config
	table  *Table
	asked  tally.Counter
	missed tally.Counter
}

// NewRegistry returns a registry that knows no stream.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config: config,
		table:  NewTable(config.Clock),
		asked:  config.Scope.Counter("origins_asked"),
		missed: config.Scope.Counter("origins_missed"),
	}
}

// RegisterHandlers registers the handlers by which other gateways record and find
// streams here. It must be called before the socket runs.
func (r *Registry) RegisterHandlers(socket *bhpeer.Socket) {
	socket.Handle(bhwire.KindBegan, r.handleBegan)
	socket.Handle(bhwire.KindFind, r.handleFind)
}

func (r *Registry) handleBegan(frame bhwire.Frame) (bhwire.Kind, any) {
	began, err := bhwire.Decode[bhwire.Began](frame)
	if err != nil || len(began.Stream) != len(Key{}) {
		bhlog.Trace(r.config.Logger, "origin.invalid", "bytes", len(frame.Body), "err", err)
		return "", nil
	}
	r.table.Put(Key(began.Stream), Origin{Service: began.Service, Version: began.Version})
	return "", nil
}

func (r *Registry) handleFind(frame bhwire.Frame) (bhwire.Kind, any) {
	find, err := bhwire.Decode[bhwire.Find](frame)
	if err != nil || len(find.Stream) != len(Key{}) {
		bhlog.Trace(r.config.Logger, "origin.invalid", "bytes", len(frame.Body), "err", err)
		return "", nil
	}
	origin, ok := r.table.Get(Key(find.Stream))
	return bhwire.KindFound, bhwire.Found{Known: ok, Service: origin.Service, Version: origin.Version}
}

// Record remembers the origin of a stream, here and at other gateways. It doesn't
// wait for them.
func (r *Registry) Record(key Key, origin Origin) {
	r.table.Put(key, origin)
	others := r.others(key)
	if len(others) > 0 {
		began := bhwire.Began{Stream: key[:], Service: origin.Service, Version: origin.Version}
		r.config.Peers.Tell(bhwire.KindBegan, began, others[:min(copies, len(others))]...)
	}
}

// Find returns the origin of a stream. It reports false if no gateway that it
// reaches knows the stream.
func (r *Registry) Find(ctx context.Context, key Key) (Origin, bool) {
	if origin, ok := r.table.Get(key); ok {
		return origin, true
	}
	r.asked.Inc(1)
	others := r.others(key)
	first := min(firstAsked, len(others))
	origin, ok := r.ask(ctx, key, firstWait, others[:first])
	if !ok {
		// The first ones are asked again, since single datagrams get lost.
		origin, ok = r.ask(ctx, key, widerWait, others[:min(widerAsked, len(others))])
	}
	if !ok {
		r.missed.Inc(1)
		return Origin{}, false
	}
	r.table.Put(key, origin)
	return origin, true
}

// ask returns the origin that one of the peers knows.
func (r *Registry) ask(ctx context.Context, key Key, wait time.Duration, peers []netip.AddrPort) (Origin, bool) {
	if len(peers) == 0 {
		return Origin{}, false
	}
	for peer, frame := range r.config.Peers.Ask(ctx, wait, bhwire.KindFind, bhwire.Find{Stream: key[:]}, peers...) {
		found, err := bhwire.Decode[bhwire.Found](frame)
		if err != nil {
			bhlog.Trace(r.config.Logger, "origin.invalid", "peer", peer, "err", err)
			continue
		}
		if found.Known {
			return Origin{Service: found.Service, Version: found.Version}, true
		}
	}
	return Origin{}, false
}

// others returns the other gateways in the order for the key.
func (r *Registry) others(key Key) []netip.AddrPort {
	if r.config.Peers == nil {
		return nil
	}
	var others []netip.AddrPort
	for _, peer := range r.config.Peers.Order(string(key[:])) {
		if peer.IsValid() {
			others = append(others, peer)
		}
	}
	return others
}
