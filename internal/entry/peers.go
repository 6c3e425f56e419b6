package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/app"
	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/entrylist"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Methods between entry processes.
const (
	methodGrant   = "Grant"
	methodForward = "Forward"
	methodClock   = "Clock"
)

// grantRequest asks an entry for how long it guarantees to stay open.
type grantRequest struct {
	From ident.Instance `json:"from"`
	Seq  uint64         `json:"seq"`
}

// grantReply carries the guaranteed time, which the requester counts from its request;
// zero means that the entry is leaving.
type grantReply struct {
	From ident.Instance `json:"from"`
	Term time.Duration  `json:"for_ns"`
}

// forwardRequest forwards a call to the home of its idempotency key, the entry
// instance that the key names.
type forwardRequest struct {
	Home       ident.Instance `json:"home"`
	From       ident.Instance `json:"from"`
	FromID     call.RequestID `json:"from_id"`
	AcceptedAt time.Duration  `json:"accepted_ns"`
	Team       ident.Team     `json:"team"`
	Service    ident.Service  `json:"service"`
	BodyHash   uint64         `json:"body_hash"`
	Request    app.Request    `json:"request"`
	// Wait is the time left until the caller's deadline.
	Wait time.Duration `json:"wait_ns"`
}

type forwardReply struct {
	Home    ident.Instance   `json:"home"`
	HomeNow time.Duration    `json:"home_now_ns"`
	Restamp bool             `json:"restamp,omitempty"`
	Refusal *verdict.Refusal `json:"refusal,omitempty"`
	Status  int              `json:"status,omitempty"`
	// Response is the application's response.
	Response app.Response `json:"response"`
}

type clockRequest struct{}

type clockReply struct {
	Home ident.Instance `json:"home"`
	Now  time.Duration  `json:"now_ns"`
}

// handlePeers registers the methods that other entries call.
func (s *Shell) handlePeers() {
	peer.Handle(s.server, methodGrant, s.handleGrant)
	peer.Handle(s.server, methodForward, s.handleForward)
	peer.Handle(s.server, methodClock, s.handleClock)
}

func (s *Shell) handleGrant(ctx context.Context, req grantRequest) (grantReply, error) {
	id := grantMailboxID(req.From, req.Seq)
	box := s.mailboxes.open(id)
	defer s.mailboxes.close(id)
	s.Send(entrylist.GrantAsked{From: req.From, Seq: req.Seq})
	items := box.receive(ctx.Done())
	if len(items) == 0 {
		return grantReply{}, errors.New("no grant before the deadline")
	}
	return grantReply{From: s.cfg.Self, Term: items[0].(entrylist.GiveGrant).Term}, nil
}

func (s *Shell) handleClock(context.Context, clockRequest) (clockReply, error) {
	return clockReply{Home: s.cfg.Self, Now: s.Now()}, nil
}

// handleForward runs a call whose key names this incarnation of this VM. For any
// other home it only returns this entry's own instance.
func (s *Shell) handleForward(_ context.Context, req forwardRequest) (forwardReply, error) {
	if req.Home != s.cfg.Self {
		return forwardReply{Home: s.cfg.Self, HomeNow: s.Now()}, nil
	}
	c := &openCall{box: newMailbox(), service: req.Service, team: req.Team,
		request: req.Request, hash: req.BodyHash, keepResponse: true}
	id := s.calls.add(c)
	s.Send(call.Request{
		ID: id, Team: req.Team, Service: req.Service, Key: req.Request.Key, BodyHash: req.BodyHash,
		Deadline:  s.Now() + req.Wait,
		Forwarded: &call.Forwarded{From: req.From, FromID: req.FromID, AcceptedAt: req.AcceptedAt},
	})
	return s.forwardOutcome(id, c)
}

func (s *Shell) forwardOutcome(id call.RequestID, c *openCall) (forwardReply, error) {
	defer s.calls.remove(id)
	reply := forwardReply{Home: s.cfg.Self}
	items := c.box.receive(s.Ctx.Done())
	if len(items) == 0 {
		return reply, errors.New("the entry process stopped before the call ended")
	}
	reply.HomeNow = s.Now()
	switch item := items[0].(type) {
	case call.Restamp:
		reply.Restamp = true
	case call.Refuse:
		reply.Refusal = &item.Refusal
	case answered:
		reply.Status = item.Status
		reply.Response = item.response
	}
	return reply, nil
}

// forwardCall sends a call to the home of its key, at most once.
func (s *Shell) forwardCall(a call.ForwardHome) {
	c := s.calls.get(a.ID)
	addr := s.directory.peerAddr(a.Home)
	if c == nil || addr == "" {
		s.Send(call.HomeUnreachable{Home: a.Home, ID: a.ID})
		return
	}
	mode := peer.Once
	if a.NewConnection {
		mode = peer.NewConnection
	}
	ctx, cancel := s.withTimeout(a.Deadline - s.Now())
	defer cancel()
	req := forwardRequest{
		Home: a.Home, From: s.cfg.Self, FromID: a.ID, AcceptedAt: a.AcceptedAt, Team: c.team, Service: c.service,
		BodyHash: c.hash, Request: c.request, Wait: a.Deadline - s.Now(),
	}
	var reply forwardReply
	if err := s.peers.Call(ctx, addr, methodForward, mode, req, &reply); err != nil {
		s.Send(call.HomeUnreachable{Home: a.Home, ID: a.ID})
		return
	}
	s.handleHomeReply(a, reply)
}

func (s *Shell) handleHomeReply(a call.ForwardHome, reply forwardReply) {
	if reply.Home != a.Home {
		s.Send(call.HomeGone{Home: a.Home})
		s.Send(call.HomeUnreachable{Home: a.Home, ID: a.ID})
		return
	}
	event := call.HomeReply{ID: a.ID, Home: reply.Home, HomeNow: reply.HomeNow, Restamp: reply.Restamp,
		Refusal: reply.Refusal, Status: reply.Status}
	if reply.Refusal == nil && !reply.Restamp {
		event.Body = call.BodyRef("forward/" + s.cfg.Self.String() + "/" + strconv.FormatUint(uint64(a.ID), 10))
		s.calls.storeResponse(event.Body, reply.Response)
	}
	s.Send(event)
}

func (s *Shell) askClock(a call.AskClock) {
	ctx, cancel := s.withTimeout(grantTimeout)
	defer cancel()
	var reply clockReply
	addr := s.directory.peerAddr(a.Home)
	if addr == "" {
		s.Send(call.HomeUnreachable{Home: a.Home})
		return
	}
	if err := s.peers.Call(ctx, addr, methodClock, peer.Retryable, clockRequest{}, &reply); err != nil {
		s.Send(call.HomeUnreachable{Home: a.Home})
		return
	}
	if reply.Home != a.Home {
		s.Send(call.HomeGone(a))
		return
	}
	s.Send(call.HomeClock{Home: reply.Home, Now: reply.Now})
}

func (s *Shell) askGrant(a entrylist.AskGrant) {
	s.Submit(func() {
		addr := s.directory.peerAddr(a.To)
		if addr == "" {
			return
		}
		ctx, cancel := s.withTimeout(grantTimeout)
		defer cancel()
		var reply grantReply
		req := grantRequest{From: s.cfg.Self, Seq: a.Seq}
		if err := s.peers.Call(ctx, addr, methodGrant, peer.Retryable, req, &reply); err != nil {
			return
		}
		s.Send(entrylist.GrantGiven{From: reply.From, Seq: a.Seq, Term: reply.Term})
	})
}
