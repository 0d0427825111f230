package bhpolicy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newTestPolicy() *Policy {
	return &Policy{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "one.example", Prefix: "/a/", Backends: []Backend{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "one.example", Prefix: "/a/b/", Backends: []Backend{{Service: "t", Weight: 0}, {Service: "u", Weight: 2}}},
			{Name: "root", Host: "two.example", Prefix: "/"},
		},
		Services: []Service{{Name: "s"}},
		Accounts: []Account{{Name: "zoo", Keys: []string{"k1", "k2"}}},
	}
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	index := NewIndex(newTestPolicy())
	for _, c := range []struct{ host, target, want string }{
		{"one.example", "/a/x", "short"},
		{"one.example", "/a/b/x", "long"},
		{"one.example:8080", "/a/b/x", "long"},
		{"ONE.example", "/a/", "short"},
		{"one.example", "/a", ""},
		{"one.example", "/ab/", ""},
		{"one.example", "/x?next=/a/", ""},
		{"one.example", "/a/c?to=/a/b/", "short"},
		{"one.example", "/a//b/", "short"},
		{"one.example", "/a/../two", "short"},
		{"two.example", "/anything", "root"},
		{"three.example", "/a/", ""},
	} {
		route := index.Route(c.host, c.target)
		if c.want == "" {
			assert.Nil(t, route, "%s%s", c.host, c.target)
			continue
		}
		require.NotNil(t, route, "%s%s", c.host, c.target)
		assert.Equal(t, c.want, route.Name, "%s%s", c.host, c.target)
	}
}

func TestIndexFindsAccountsAndRoutes(t *testing.T) {
	index := NewIndex(newTestPolicy())
	assert.Equal(t, "zoo", index.AccountByKey("k2").Name)
	assert.Nil(t, index.AccountByKey(""))
	assert.Nil(t, index.AccountByKey("k3"))
	assert.True(t, index.RequiresKeys())
	assert.False(t, NewIndex(&Policy{}).RequiresKeys())
	assert.Nil(t, index.AccountNamed("k1"))
	assert.True(t, index.RouteNamed("long").Serves("u"))
	assert.False(t, index.RouteNamed("long").Serves("t"), "a backend of weight zero receives no traffic")
}

func TestRouteRepeatable(t *testing.T) {
	assert.True(t, (&Route{Kind: Safe}).Repeatable())
	assert.False(t, (&Route{Kind: Unsafe, Resumable: true}).Repeatable())
	assert.False(t, (&Route{Kind: Streaming}).Repeatable())
	assert.True(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}
