package bhmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func host(name, link string) bhplatform.Host { return bhplatform.Host{Name: name, Link: link} }

func never(string) bool { return false }

func names(hosts []bhplatform.Host) []string {
	var list []string
	for _, host := range hosts {
		list = append(list, host.Name)
	}
	return list
}

func TestBookIntroducesMovesAndForgets(t *testing.T) {
	book := NewBook("self", start)
	change := book.Read(start, []bhplatform.Host{host("self", "0"), host("a", "1"), host("b", "2")}, never)
	assert.Equal(t, []string{"a", "b"}, names(change.Begin))
	assert.Empty(t, change.End)

	change = book.Read(start.Add(time.Second), []bhplatform.Host{host("a", "9")}, never)
	assert.Equal(t, []string{"a"}, names(change.Begin))
	assert.Equal(t, []string{"a"}, change.End)

	change = book.Read(start.Add(Forget-time.Second), []bhplatform.Host{host("a", "9")}, never)
	assert.Empty(t, change.End, "the list may lag")
	change = book.Read(start.Add(Forget), []bhplatform.Host{host("a", "9")}, never)
	assert.Equal(t, []string{"b"}, change.End)
}

func TestHostWithSessionIsNotForgotten(t *testing.T) {
	book := NewBook("self", start)
	book.Read(start, []bhplatform.Host{host("a", "1")}, never)
	change := book.Read(start.Add(time.Hour), nil, func(string) bool { return true })
	assert.Empty(t, change.End)
}

func TestListIsReadOftenOnlyAtTheStart(t *testing.T) {
	book := NewBook("self", start)
	assert.Equal(t, Eager, book.Next(start.Add(Settling-1)))
	assert.Equal(t, Calm, book.Next(start.Add(Settling)))
}

// Whatever the list says, a host is begun and ended in turns, and the number
// kept is bounded by the hosts listed within Forget or connected.
func TestBeginAndEndAlternate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := NewBook("self", start)
		now := start
		kept := map[string]bool{}
		listed := map[string]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "readings") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(Forget)).Draw(t, "pause")))
			var list []bhplatform.Host
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "self"}), rapid.ID[string]).Draw(t, "list") {
				list = append(list, host(name, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "link")))
				listed[name] = now
			}
			connected := rapid.SampledFrom([]string{"", "a"}).Draw(t, "connected")
			change := book.Read(now, list, func(name string) bool { return name == connected })
			for _, name := range change.End {
				assert.True(t, kept[name])
				kept[name] = false
			}
			for _, name := range names(change.Begin) {
				assert.False(t, kept[name])
				kept[name] = true
			}
			for name, held := range kept {
				if held {
					assert.True(t, name == connected || now.Sub(listed[name]) < Forget, name)
				}
			}
			assert.False(t, kept["self"])
		}
	})
}
