package bhadmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

const (
	pushTimeout    = 10 * time.Second
	bodyLimit      = "8M"
	maxHistory     = 200
	defaultHistory = 20
	maxRevoked     = 1000
	bearer         = "Bearer "
	contextAuthor  = "author"
	fleetAuthor    = "fleet"
)

// Config configures a Server.
type Config struct {
	Node *bhsync.Node
	// Operators may use the API. With none, the fleet's secrets open it.
	Operators []bhconf.Operator
	Secrets   []string
	Logger    bhlog.Logger
}

// Server serves the operators' API.
type Server struct {
	config Config
	guard  *bhkey.BadKeyLimiter
	echo   *echo.Echo
}

// NewServer returns the API of the node.
func NewServer(config Config) *Server {
	s := &Server{config: config, guard: bhkey.NewBadKeyLimiter(bhkey.BadKeyLimiterConfig{}), echo: echo.New()}
	s.echo.HTTPErrorHandler = s.fail
	s.echo.Use(middleware.BodyLimit(bodyLimit), s.authenticated)
	s.echo.GET(PathConfig, s.current)
	s.echo.GET(PathConfig+"/:version", s.version)
	s.echo.POST(PathConfig, s.push)
	s.echo.GET(PathHistory, s.history)
	s.echo.GET(PathStatus, s.status)
	s.echo.POST(PathRevoke, s.revoke)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) authenticated(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), bearer)
		author, ok := s.author(token)
		if ok {
			c.Set(contextAuthor, author)
			return next(c)
		}
		if wait := s.guard.RecordBadKey(source(c.Request()), time.Now()); wait > 0 {
			return bhcode.New(bhcode.TooManyBadKeys, "").WithRetryAfter(wait)
		}
		return bhcode.New(bhcode.Unauthorized, "the operator's token is missing or wrong")
	}
}

// author returns who holds the token. It compares digests in constant time.
func (s *Server) author(token string) (string, bool) {
	found, ok := "", false
	sum := bhkey.Digest(token)
	for _, operator := range s.config.Operators {
		if subtle.ConstantTimeCompare([]byte(sum), []byte(operator.Digest)) == 1 {
			found, ok = operator.Name, true
		}
	}
	if len(s.config.Operators) > 0 {
		return found, ok
	}
	own := sha256.Sum256([]byte(token))
	for _, secret := range s.config.Secrets {
		want := sha256.Sum256([]byte(secret))
		if subtle.ConstantTimeCompare(own[:], want[:]) == 1 {
			found, ok = fleetAuthor, true
		}
	}
	return found, ok
}

func (s *Server) current(c echo.Context) error {
	current := s.config.Node.Store().Current()
	if current == nil {
		return bhcode.New(bhcode.NoConfiguration, "")
	}
	return c.JSON(http.StatusOK, s.reply(current.Version, current.Digest, current.Config))
}

func (s *Server) version(c echo.Context) error {
	version, err := strconv.ParseInt(c.Param("version"), 10, 64)
	if err != nil {
		return bhcode.New(bhcode.BadRequest, "the version must be a number")
	}
	config, err := s.config.Node.Archive().ConfigAt(c.Request().Context(), version)
	if err != nil {
		return err
	}
	digest, err := config.Digest()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, s.reply(version, digest, config))
}

func (s *Server) reply(version int64, digest string, config bhconf.Config) ConfigReply {
	reply := ConfigReply{Version: version, Digest: digest, Config: config, Revoked: []string{}}
	for _, account := range config.Accounts {
		for _, key := range account.Keys {
			if s.config.Node.Store().Revocations.Has(key.Digest) {
				reply.Revoked = append(reply.Revoked, key.Digest)
			}
		}
	}
	return reply
}

func (s *Server) push(c echo.Context) error {
	var request PushRequest
	if err := c.Bind(&request); err != nil {
		return bhcode.New(bhcode.BadRequest, "the push must be JSON")
	}
	if request.ID == "" {
		return bhcode.New(bhcode.BadRequest, "the push must have an id")
	}
	config, err := bhconf.ParseConfig(request.Config)
	if err != nil {
		return invalid(err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), pushTimeout)
	defer cancel()
	result, err := s.config.Node.Push(ctx, bhsync.Push{
		ID:     request.ID,
		Base:   request.Base,
		Config: config,
		Author: author(c),
		Note:   request.Note,
	})
	if err != nil {
		return invalid(err)
	}
	reply := PushReply{PushResult: result}
	old := bhconf.Config{}
	if request.Base > 0 {
		old, err = s.config.Node.Archive().ConfigAt(ctx, request.Base)
	}
	next := config
	if result.Outcome == bhsync.Conflict && err == nil {
		next, err = s.config.Node.Archive().ConfigAt(ctx, result.Version)
	}
	if err == nil {
		reply.Changes = bhsync.Describe(old, next)
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) history(c echo.Context) error {
	before, _ := strconv.ParseInt(c.QueryParam("before"), 10, 64)
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 {
		limit = defaultHistory
	}
	records, err := s.config.Node.Archive().History(c.Request().Context(), before, min(limit, maxHistory))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, HistoryReply{Versions: records})
}

func (s *Server) status(c echo.Context) error {
	reply := StatusReply{Hosts: s.config.Node.Status(), Pending: len(s.config.Node.PendingRevocations())}
	if current := s.config.Node.Store().Current(); current != nil {
		reply.Version, reply.Digest = current.Version, current.Digest
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) revoke(c echo.Context) error {
	var request RevokeRequest
	if err := c.Bind(&request); err != nil {
		return bhcode.New(bhcode.BadRequest, "the revocation must be JSON")
	}
	if len(request.Digests) == 0 || len(request.Digests) > maxRevoked {
		return bhcode.New(bhcode.BadRequest, "the revocation must name 1 to %d digests", maxRevoked)
	}
	for _, digest := range request.Digests {
		if !bhkey.ValidDigest(digest) {
			return bhcode.New(bhcode.BadRequest, "a digest is malformed")
		}
	}
	return c.JSON(http.StatusOK, s.config.Node.Revoke(c.Request().Context(), author(c), request.Digests...))
}

func source(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func author(c echo.Context) string {
	author, _ := c.Get(contextAuthor).(string)
	return author
}

// invalid is the error for a configuration with mistakes.
func invalid(err error) error { return bhcode.Wrap(err, bhcode.ConfigInvalid, "") }

// fail answers a request that failed.
func (s *Server) fail(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var web *echo.HTTPError
	if errors.As(err, &web) {
		err = bhcode.New(bhcode.FromStatus(web.Code), "%v", web.Message)
	}
	failure := bhcode.From(err)
	reply := ErrorReply{Code: int(failure.Code), Message: failure.Error()}
	errors.As(err, &reply.Problems)
	bhlog.Problem(s.config.Logger, "admin.failed", failure, "method", c.Request().Method, "path", c.Path())
	if wait := failure.RetryAfter; wait > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(wait/time.Second)+1))
	}
	_ = c.JSON(failure.Code.Info().Status, reply)
}
