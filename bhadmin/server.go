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
	pushTimeout         = 10 * time.Second
	maxBodySize         = "8M"
	maxHistoryLimit     = 200
	defaultHistoryLimit = 20
	maxRevokedDigests   = 1000
	bearerPrefix        = "Bearer "
	authorContextKey    = "author"
	fleetAuthor         = "fleet"
)

// Config configures a Server.
type Config struct {
	Node *bhsync.Node
	// Operators are the operators who may use the API.
	Operators []bhconf.Operator
	// Secrets are the fleet's secrets. They are accepted as tokens if Operators is
	// empty.
	Secrets []string
	Logger  bhlog.Logger
}

// Server is the HTTP handler of the operators' API.
type Server struct {
	config        Config
	badKeyLimiter *bhkey.BadKeyLimiter
	echo          *echo.Echo
}

// NewServer returns a server of the API for config.Node.
func NewServer(config Config) *Server {
	s := &Server{config: config, badKeyLimiter: bhkey.NewBadKeyLimiter(bhkey.BadKeyLimiterConfig{}), echo: echo.New()}
	s.echo.HTTPErrorHandler = s.writeError
	s.echo.Use(middleware.BodyLimit(maxBodySize), s.requireToken)
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

// requireToken is the middleware that refuses requests without a valid token. It
// limits the rate of wrong tokens per remote host.
func (s *Server) requireToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), bearerPrefix)
		author, ok := s.authorOfToken(token)
		if ok {
			c.Set(authorContextKey, author)
			return next(c)
		}
		if retryAfter := s.badKeyLimiter.RecordBadKey(remoteHost(c.Request()), time.Now()); retryAfter > 0 {
			return bhcode.New(bhcode.TooManyBadKeys, "").WithRetryAfter(retryAfter)
		}
		return bhcode.New(bhcode.Unauthorized, "the operator's token is missing or wrong")
	}
}

// authorOfToken returns the name of the operator with the token, or "fleet" for a
// fleet secret. It compares digests in constant time.
func (s *Server) authorOfToken(token string) (string, bool) {
	name, ok := "", false
	digest := bhkey.Digest(token)
	for _, operator := range s.config.Operators {
		if subtle.ConstantTimeCompare([]byte(digest), []byte(operator.Digest)) == 1 {
			name, ok = operator.Name, true
		}
	}
	if len(s.config.Operators) > 0 {
		return name, ok
	}
	tokenSum := sha256.Sum256([]byte(token))
	for _, secret := range s.config.Secrets {
		secretSum := sha256.Sum256([]byte(secret))
		if subtle.ConstantTimeCompare(tokenSum[:], secretSum[:]) == 1 {
			name, ok = fleetAuthor, true
		}
	}
	return name, ok
}

func (s *Server) current(c echo.Context) error {
	current := s.config.Node.Store().Current()
	if current == nil {
		return bhcode.New(bhcode.NoConfiguration, "")
	}
	return c.JSON(http.StatusOK, s.configReply(current.Version, current.Digest, current.Config))
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
	return c.JSON(http.StatusOK, s.configReply(version, digest, config))
}

// configReply returns the reply for a version, with the digests of those of its keys
// that are revoked.
func (s *Server) configReply(version int64, digest string, config bhconf.Config) ConfigReply {
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
		return configInvalid(err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), pushTimeout)
	defer cancel()
	result, err := s.config.Node.Push(ctx, bhsync.Push{
		ID:     request.ID,
		Base:   request.Base,
		Config: config,
		Author: requestAuthor(c),
		Note:   request.Note,
	})
	if err != nil {
		return configInvalid(err)
	}
	reply := PushReply{PushResult: result}
	baseConfig := bhconf.Config{}
	if request.Base > 0 {
		baseConfig, err = s.config.Node.Archive().ConfigAt(ctx, request.Base)
	}
	newConfig := config
	if result.Outcome == bhsync.Conflict && err == nil {
		newConfig, err = s.config.Node.Archive().ConfigAt(ctx, result.Version)
	}
	if err == nil {
		reply.Changes = bhsync.Describe(baseConfig, newConfig)
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) history(c echo.Context) error {
	before, _ := strconv.ParseInt(c.QueryParam("before"), 10, 64)
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 {
		limit = defaultHistoryLimit
	}
	records, err := s.config.Node.Archive().History(c.Request().Context(), before, min(limit, maxHistoryLimit))
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
	if len(request.Digests) == 0 || len(request.Digests) > maxRevokedDigests {
		return bhcode.New(bhcode.BadRequest, "the revocation must name 1 to %d digests", maxRevokedDigests)
	}
	for _, digest := range request.Digests {
		if !bhkey.ValidDigest(digest) {
			return bhcode.New(bhcode.BadRequest, "a digest is malformed")
		}
	}
	return c.JSON(http.StatusOK, s.config.Node.Revoke(c.Request().Context(), requestAuthor(c), request.Digests...))
}

// remoteHost returns the request's remote address without the port.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// requestAuthor returns the author that requireToken set in the context.
func requestAuthor(c echo.Context) string {
	author, _ := c.Get(authorContextKey).(string)
	return author
}

// configInvalid wraps the error of an invalid configuration.
func configInvalid(err error) error { return bhcode.Wrap(err, bhcode.ConfigInvalid, "") }

// writeError replies to a failed request, unless the response has already started.
func (s *Server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		err = bhcode.New(bhcode.FromStatus(httpErr.Code), "%v", httpErr.Message)
	}
	codeErr := bhcode.From(err)
	reply := ErrorReply{Code: int(codeErr.Code), Message: codeErr.Error()}
	errors.As(err, &reply.Problems)
	bhlog.Problem(s.config.Logger, "admin.failed", codeErr, "method", c.Request().Method, "path", c.Path())
	if retryAfter := codeErr.RetryAfter; retryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)+1))
	}
	_ = c.JSON(codeErr.Code.Info().Status, reply)
}
