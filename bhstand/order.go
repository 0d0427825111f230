package bhstand

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhtree"
)

// Actions of an Order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
	ActionRole   = "role"
)

// Order tells an engine what to serve.
type Order struct {
	ID      string `json:"id"`
	Fence   int64  `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// Models is what an engine serves.
type Models struct {
	// Models gives the version of each loaded model.
	Models map[string]string `json:"models"`
	// Fence is the highest fencing number seen since the engine's start.
	Fence int64  `json:"fence"`
	Role  string `json:"role"`
	// Epoch counts the engine's starts.
	Epoch int `json:"epoch"`
}

// orders is the state that orders change.
type orders struct {
	models map[string]string
	fence  int64
	role   string
}

func newOrders(config EngineConfig) orders {
	models := maps.Clone(config.Models)
	if models == nil {
		models = make(map[string]string)
	}
	return orders{models: models}
}

// Models returns what the engine serves.
func (e *Engine) Models() Models {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Models{
		Models: maps.Clone(e.orders.models),
		Fence:  e.orders.fence,
		Role:   e.orders.role,
		Epoch:  e.epoch,
	}
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Models())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !read(w, r, &order) {
		return
	}
	life, ok := e.admit(order)
	if !ok {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	if order.Action == ActionLoad {
		if err := e.fetch(ctx, order); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	switch e.apply(life, order) {
	case http.StatusOK:
		reply(w, http.StatusOK, e.Models())
	case http.StatusConflict:
		http.Error(w, "old fencing number", http.StatusConflict)
	case http.StatusBadRequest:
		http.Error(w, "unknown action", http.StatusBadRequest)
	default:
		panic(http.ErrAbortHandler)
	}
}

// admit notes the order's fencing number and returns the engine's present life.
func (e *Engine) admit(order Order) (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fenced && order.Fence < e.orders.fence {
		return nil, false
	}
	e.orders.fence = max(e.orders.fence, order.Fence)
	return e.life, true
}

// apply carries out an order unless a newer one came while it loaded. It
// returns an HTTP status, or zero if the engine crashed meanwhile.
func (e *Engine) apply(life context.Context, order Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return 0
	}
	if e.config.Fenced && order.Fence < e.orders.fence {
		return http.StatusConflict
	}
	switch order.Action {
	case ActionLoad:
		e.orders.models[order.Model] = order.Version
	case ActionUnload:
		delete(e.orders.models, order.Model)
	case ActionRole:
		e.orders.role = order.Role
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

// fetch spends the time that loading takes.
func (e *Engine) fetch(ctx context.Context, order Order) error {
	if e.config.Weights == "" {
		if !bhtree.Sleep(ctx, e.config.Loading) {
			return errors.WithStack(ctx.Err())
		}
		return nil
	}
	path := e.config.Weights + PathWeights + url.PathEscape(order.Model) + "/" + url.PathEscape(order.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("weight store: status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.WithStack(err)
}
