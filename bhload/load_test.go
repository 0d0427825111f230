package bhload

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

var stream = Kind{Class: ClassStream, Model: "m", Tokens: 12, Prompt: 20, Prefixes: 2, Shared: 600}

func newConfig(mix ...Kind) Config {
	return Config{
		Seed:     7,
		Duration: bhconf.Duration(200 * time.Millisecond),
		Accounts: []Account{{Name: "a", Key: "k", Rate: 100}, {Name: "b", Rate: 50}},
		Mix:      mix,
	}
}

func TestParseReportsEveryMistake(t *testing.T) {
	_, err := Parse([]byte(`{"accounts":[{"name":"a"}],"mix":[{"class":"odd"},{"class":"plain"},{"class":"chat"}]}`))
	assert.EqualError(t, err, strings.Join([]string{
		"duration: must be more than 0",
		"accounts[0].rate: must be more than 0",
		"mix[0].class: must be chat, stream or plain",
		"mix[1].path: must not be empty",
		"mix[2].model: must not be empty",
	}, "\n"))
	_, err = Parse([]byte(`{"speed":1}`))
	assert.ErrorContains(t, err, "speed")
}

func TestScheduleIsTheSameForTheSameSeed(t *testing.T) {
	config := newConfig(stream, Kind{Class: ClassPlain, Path: "/p"})
	config.Duration = bhconf.Duration(100 * time.Second)
	first, second := NewSchedule(config, 0), NewSchedule(config, 0)
	count, plain, previous := 0, 0, time.Duration(0)
	prompts := make(map[string]bool)
	prefixes := make(map[string]bool)
	for {
		a, ok := first.Next()
		b, okB := second.Next()
		require.Equal(t, a, b)
		require.Equal(t, ok, okB)
		if !ok {
			break
		}
		require.GreaterOrEqual(t, a.At, previous)
		previous = a.At
		count++
		if a.Kind.Class == ClassPlain {
			plain++
			continue
		}
		require.False(t, prompts[a.Prompt])
		prompts[a.Prompt] = true
		prefixes[a.Prompt[:600]] = true
	}
	assert.InEpsilon(t, 10_000, count, 0.05)
	assert.InEpsilon(t, 5_000, plain, 0.1)
	assert.Len(t, prefixes, 2)
}

func TestLoadOnTheStandInsIsClean(t *testing.T) {
	engine := httptest.NewServer(bhstand.NewEngine(bhstand.EngineConfig{Models: map[string]string{"m": "1"}}))
	defer engine.Close()
	chat := stream
	chat.Class = ClassChat
	result := Run(context.Background(), []Target{{URL: engine.URL}}, newConfig(stream, chat), nil)
	assert.True(t, result.Clean(), "%v", result.Messages)
	assert.Equal(t, int64(result.All.Sent), result.All.First.Count)
	assert.NotZero(t, result.All.Between.Count)
	assert.Len(t, result.Rows, 4)

	plain := httptest.NewServer(bhstand.NewPlain(bhstand.PlainConfig{}))
	defer plain.Close()
	result = Run(context.Background(), []Target{{URL: plain.URL}}, newConfig(Kind{Class: ClassPlain, Path: "/p"}), nil)
	assert.True(t, result.Clean(), "%v", result.Messages)
}

// answer returns the verdict on what a faulty server makes of a right stream.
func answer(t *testing.T, kind Kind, spoil func(w http.ResponseWriter, events []string)) Outcome {
	t.Helper()
	engine := bhstand.NewEngine(bhstand.EngineConfig{Models: map[string]string{"m": "1"}})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		engine.ServeHTTP(recorder, r)
		spoil(w, strings.SplitAfter(recorder.Body.String(), "\n\n"))
	}))
	defer server.Close()
	request, ok := NewSchedule(newConfig(kind), 0).Next()
	require.True(t, ok)
	return newClient([]Target{{URL: server.URL}}, 0).do(context.Background(), request, time.Now())
}

func write(w io.Writer, events ...string) {
	for _, event := range events {
		_, _ = io.WriteString(w, event)
	}
}

func TestVerdicts(t *testing.T) {
	broken := `data: {"error":{"code":2006,"message":"lost","ran":"unknown"}}` + "\n\n"
	for name, test := range map[string]struct {
		spoil func(w http.ResponseWriter, events []string)
		want  Verdict
		code  int
	}{
		"whole":         {func(w http.ResponseWriter, events []string) { write(w, events...) }, Good, 0},
		"no end marker": {func(w http.ResponseWriter, events []string) { write(w, events[:len(events)-2]...) }, Short, 0},
		"cut":           {func(w http.ResponseWriter, events []string) { write(w, events[:3]...) }, Short, 0},
		"token missing": {func(w http.ResponseWriter, events []string) { write(w, events[1:]...) }, Wrong, 0},
		"token twice": {func(w http.ResponseWriter, events []string) {
			write(w, events[0])
			write(w, events...)
		}, Wrong, 0},
		"error event": {func(w http.ResponseWriter, events []string) { write(w, events[0], broken) }, Broken, 2006},
		"reset": {func(w http.ResponseWriter, events []string) {
			write(w, events[:3]...)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, Broken, 0},
		"no reply": {func(http.ResponseWriter, []string) { panic(http.ErrAbortHandler) }, Failed, 0},
		"refusal": {func(w http.ResponseWriter, _ []string) {
			w.WriteHeader(http.StatusTooManyRequests)
			write(w, `{"error":{"code":1006,"message":"over the rate","ran":"no"}}`)
		}, Refused, 1006},
		"no status": {func(w http.ResponseWriter, _ []string) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			write(conn, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
		}, Wrong, 0},
	} {
		t.Run(name, func(t *testing.T) {
			outcome := answer(t, stream, test.spoil)
			assert.Equal(t, test.want, outcome.Verdict, outcome.Message)
			assert.Equal(t, test.code, outcome.Code)
		})
	}
}

func TestSwappedAnswersAreWrong(t *testing.T) {
	chat := stream
	chat.Class = ClassChat
	outcome := answer(t, chat, func(w http.ResponseWriter, _ []string) {
		other := strings.Join(bhstand.Answer("m", "user: other\n", 12), "")
		data, err := json.Marshal(bhchat.Completion{
			Choices: []bhchat.Choice{{Message: bhchat.Message{Content: other}, Finish: "stop"}},
		})
		require.NoError(t, err)
		write(w, string(data))
	})
	assert.Equal(t, Wrong, outcome.Verdict)
	outcome = answer(t, Kind{Class: ClassPlain, Path: bhchat.Path}, func(w http.ResponseWriter, _ []string) {
		write(w, `{"id":"other"}`)
	})
	assert.Equal(t, Wrong, outcome.Verdict)
}

func TestResultCountsCodes(t *testing.T) {
	r := newRecorder()
	request := Request{Account: Account{Name: "a"}, Kind: stream}
	r.add(request, Outcome{Verdict: Refused, Code: 1006, Status: 429})
	r.add(request, Outcome{Verdict: Refused, Status: 502})
	r.add(request, Outcome{Verdict: Good, First: time.Millisecond, Total: time.Hour})
	result := r.result()
	assert.Equal(t, map[string]int{"1006": 1, "http-502": 1}, result.All.Codes)
	assert.Equal(t, 3, result.Rows[0].Sent)
	assert.False(t, result.Clean())
	assert.True(t, result.Correct())
	assert.EqualValues(t, 1, result.All.Total.Count)
}

// A target that refuses connections costs no request, one that isn't ready gets
// none while others are.
func TestBalancerPassesOverTargetsThatLeave(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	engine := bhstand.NewEngine(bhstand.EngineConfig{Models: map[string]string{"m": "1"}})
	leaving := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer leaving.Close()
	serving := httptest.NewServer(engine)
	defer serving.Close()
	client := newClient([]Target{
		{URL: gone.URL},
		{URL: leaving.URL, Ready: leaving.URL},
		{URL: serving.URL},
	}, 0)
	client.balancer.check(t.Context(), 1)
	schedule := NewSchedule(newConfig(stream), 0)
	for range 5 {
		request, ok := schedule.Next()
		require.True(t, ok)
		assert.Equal(t, Good, client.do(context.Background(), request, time.Now()).Verdict)
	}
}
