package bhentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhchat"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// chatTimeout is the deadline of a chat request, from the start of its dispatch
// to its last token.
const chatTimeout = 5 * time.Minute

// serveChat serves one chat completion.
func (e *Entry) serveChat(c echo.Context) error {
	caller := callerFrom(c)
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if err := rejectKeyIn("", body, caller.key); err != nil {
		return err
	}
	request, err := bhchat.Parse(body)
	if err != nil {
		return err
	}
	model, ok := caller.snapshot.Model(request.Model)
	if !ok {
		return bhcode.New(bhcode.NotFound, "no model has the name %q", request.Model)
	}
	if err := e.takeToken(c.Request().Context(), caller.identity.Account); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), chatTimeout)
	defer cancel()
	ctx, release := e.runningRequests.Add(ctx, caller.identity)
	defer release()
	submit := bhwire.Submit{
		ID:         requestID(c),
		Account:    caller.identity.Account,
		Group:      model.Group,
		Model:      model.Name,
		Method:     http.MethodPost,
		Path:       bhchat.Path,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Idempotent: true,
		Digest:     contentDigest(caller.identity.Account, body),
		Work:       request.Work(),
		Prefix:     bhchat.Prefix(request.Prompt()),
	}
	memory := e.answers.Open(ownAnswerBytes)
	defer memory.Close()
	sink, err := newChatSink(c, request, memory)
	if err != nil {
		return err
	}
	return e.dispatch(ctx, submit, promptTraits(submit.Account, request), sink)
}

// checkModel returns NotFound if the configuration has no model of that name.
func checkModel(c echo.Context, name string) error {
	if _, ok := callerFrom(c).snapshot.Model(name); !ok {
		return bhcode.New(bhcode.NotFound, "no model has the name %q", name)
	}
	return nil
}

// listModels lists the models in the configuration.
func (e *Entry) listModels(c echo.Context) error {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	type list struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	reply := list{Object: "list", Data: []model{}}
	for _, declared := range callerFrom(c).snapshot.Config.Models {
		reply.Data = append(reply.Data, model{ID: declared.Name, Object: "model", Owner: declared.Group})
	}
	return c.JSON(http.StatusOK, reply)
}

// contentDigest returns the hex SHA-256 of the account and the content.
// Requests with the same digest are treated as the same request.
func contentDigest(account string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(account + "\n"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}
