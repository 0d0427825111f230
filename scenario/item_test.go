package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

const itemTokens = 16

// itemsCommand writes a file of batch items. The items named crash and refuse
// make an engine crash and refuse them.
func itemsCommand(ts *testscript.TestScript, neg bool, args []string) {
	const usage = "items FILE COUNT [crash=N] [refuse=N]"
	need(ts, neg, args, 2, 4, usage)
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	bad := badItems(parseOptions(ts, args[2:], usage))
	var file bytes.Buffer
	encoder := json.NewEncoder(&file)
	for i := range count {
		body, err := json.Marshal(bhchat.Request{
			Model: "rota", MaxTokens: itemTokens,
			Messages: []bhchat.Message{{Role: "user", Content: fmt.Sprintf("week %d %s", i, bad[i])}},
		})
		ts.Check(err)
		ts.Check(encoder.Encode(bhbatch.Item{
			CustomID: "item-" + strconv.Itoa(i), Method: "POST", URL: bhchat.Path, Body: body,
		}))
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), file.Bytes(), 0o600))
}

func badItems(options map[string]string) map[int]string {
	bad := make(map[int]string)
	for name, word := range map[string]string{"crash": bhstand.WordCrash, "refuse": bhstand.WordRefuse} {
		if n, err := strconv.Atoi(options[name]); err == nil {
			bad[n] = word
		}
	}
	return bad
}

// answersCommand checks that a results file holds the right answer to each of
// the items, once, but those that the engines can't answer.
func answersCommand(ts *testscript.TestScript, neg bool, args []string) {
	const usage = "answers ITEMS RESULTS [crash=N] [refuse=N]"
	need(ts, neg, args, 2, 4, usage)
	bad := badItems(parseOptions(ts, args[2:], usage))
	want := make(map[string]string)
	for number, item := range decodeLines[bhbatch.Item](ts, args[0]) {
		if bad[number] == "" {
			request, err := bhchat.Parse(item.Body)
			ts.Check(err)
			want[item.CustomID] = strings.Join(bhstand.Answer(request.Model, request.Prompt(), request.MaxTokens), "")
		}
	}
	for _, line := range decodeLines[bhbatch.ResultLine](ts, args[1]) {
		answer, ok := want[line.CustomID]
		if !ok || line.Response == nil {
			ts.Fatalf("unexpected or second result: %+v", line)
		}
		delete(want, line.CustomID)
		var completion bhchat.Completion
		ts.Check(json.Unmarshal(line.Response.Body, &completion))
		if got := completion.Choices[0].Message.Content; got != answer {
			ts.Fatalf("%s: answer %q, want %q", line.CustomID, got, answer)
		}
	}
	if len(want) > 0 {
		ts.Fatalf("%d items have no result", len(want))
	}
}

func decodeLines[T any](ts *testscript.TestScript, name string) []T {
	var values []T
	scanner := bufio.NewScanner(strings.NewReader(ts.ReadFile(name)))
	scanner.Buffer(nil, bhbatch.MaxLineBytes)
	for scanner.Scan() {
		var value T
		ts.Check(json.Unmarshal(scanner.Bytes(), &value))
		values = append(values, value)
	}
	ts.Check(scanner.Err())
	return values
}

// batchIDCommand sets an environment variable to the id of a batch printed as
// JSON.
func batchIDCommand(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, 2, "batchid FILE NAME")
	var batch bhbatch.BatchReply
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &batch))
	ts.Setenv(args[1], batch.ID)
}
