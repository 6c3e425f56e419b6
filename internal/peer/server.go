package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	serviceName = "catkin.Peer"
	// connBufferBytes is the size of a connection's read and write buffers. It is
	// small because messages between peers are small and connections are many.
	connBufferBytes = 4 << 10
	// streamWorkers is the number of long-lived goroutines that handle calls; while
	// all are busy, each further call runs on a new goroutine.
	streamWorkers = 4
)

// Server handles the calls of peers.
type Server struct {
	grpc    *grpc.Server
	traffic *traffic
	desc    grpc.ServiceDesc
}

// NewServer returns a server without methods. It reads the TLS files.
func NewServer(cfg Config) (*Server, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	creds, err := cfg.TLS.credentials()
	if err != nil {
		return nil, err
	}
	stats := newTraffic(cfg.Metrics, "server")
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(cfg.MaxMessageBytes),
		grpc.MaxSendMsgSize(cfg.MaxMessageBytes),
		grpc.ReadBufferSize(connBufferBytes),
		grpc.WriteBufferSize(connBufferBytes),
		grpc.StatsHandler(stats),
		grpc.NumStreamWorkers(streamWorkers),
	)
	return &Server{grpc: s, traffic: stats, desc: grpc.ServiceDesc{ServiceName: serviceName}}, nil
}

// Handle registers handle for method. Call it before Serve, once per method. The
// client receives an error of handle as ErrRefused with its text.
func Handle[Req, Resp any](s *Server, method string, handle func(context.Context, Req) (Resp, error)) {
	s.desc.Methods = append(s.desc.Methods, grpc.MethodDesc{
		MethodName: method,
		Handler: func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var req Req
			if err := decode(&req); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
			resp, err := handle(ctx, req)
			if err != nil {
				return nil, status.Error(codes.FailedPrecondition, err.Error())
			}
			return &resp, nil
		},
	})
}

// Serve handles calls on listener until Stop. It returns nil after Stop.
func (s *Server) Serve(listener net.Listener) error {
	s.grpc.RegisterService(&s.desc, nil)
	err := s.grpc.Serve(countedListener{Listener: listener, traffic: s.traffic})
	return errors.Wrap(err, "serve peers")
}

// Stop waits at most grace for calls in progress, then aborts them.
func (s *Server) Stop(grace time.Duration) {
	timer := time.AfterFunc(grace, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
}

// credentials returns the transport credentials of a client or server.
func (f TLSFiles) credentials() (credentials.TransportCredentials, error) {
	if !f.Enabled() {
		return insecure.NewCredentials(), nil
	}
	cfg, err := f.load()
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(cfg), nil
}
