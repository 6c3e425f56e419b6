package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/stream"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// defaultMaxTokens is the maximum length of a completion whose request sets none.
const defaultMaxTokens = 256

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     ident.Service `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Seed      int64         `json:"seed"`
	Priority  int           `json:"priority"`
}

// completionResponse is the body of a plain response, or the data of one event of a
// streamed response.
type completionResponse struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   ident.Service `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

var (
	firstTokenSeconds = metrics.NewHistogram("catkin_entry_first_token_seconds")
	tokensTotal       = metrics.NewCounter("catkin_entry_tokens_total")
)

// parseCompletion decodes a request body, which must be exactly one JSON object.
func parseCompletion(raw []byte) (completionRequest, error) {
	body := completionRequest{MaxTokens: defaultMaxTokens}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(&body); err != nil {
		return body, err
	}
	if decoder.More() {
		return body, io.ErrUnexpectedEOF
	}
	return body, nil
}

func (s *Shell) serveCompletion(ctx *fasthttp.RequestCtx, id string) {
	if !ctx.IsPost() {
		writeRefusal(ctx, badRequest("use POST for a completion"))
		return
	}
	body, err := parseCompletion(ctx.PostBody())
	if err != nil {
		writeRefusal(ctx, badRequest("the body must be a single JSON completion request: "+err.Error()))
		return
	}
	timeout, ok := callerTimeout(ctx, s.cfg.CompletionTimeout)
	if !ok {
		writeRefusal(ctx, badRequest(headerTimeout+" must be a number of milliseconds from 1 to 3600000"))
		return
	}
	box := s.mailboxes.open(id)
	started := time.Now()
	s.Send(node.CompletionAsked{
		Request: id, Team: ident.Team(ctx.Request.Header.Peek(headerTeam)), Model: body.Model, Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, Prefixes: promptPrefixes(body.Prompt), Seed: body.Seed, Priority: body.Priority, Deadline: s.Now() + timeout,
	})
	reader := &responseReader{shell: s, id: id, box: box, started: started, model: body.Model, prompt: body.Prompt}
	if body.Stream {
		s.streamResponse(ctx, reader)
		return
	}
	defer reader.close()
	reader.writeResponse(ctx)
}

// responseReader reads the items of one completion from its mailbox.
type responseReader struct {
	shell   *Shell
	id      string
	box     *mailbox
	started time.Time
	model   ident.Service
	prompt  string
	tokens  int
	queue   []any
	done    bool
}

// next returns the next item: a stream.EmitToken, a stream.Finish or a
// verdict.Refusal. It sets done with the last one.
func (r *responseReader) next() any {
	if len(r.queue) == 0 {
		r.queue = r.box.receive(r.shell.Ctx.Done())
	}
	if len(r.queue) == 0 {
		r.done = true
		return verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: verdict.CauseLeaving, Detail: "the entry process stopped before the response was complete"}
	}
	item := r.queue[0]
	r.queue = r.queue[1:]
	switch item := item.(type) {
	case stream.EmitToken:
		r.countToken()
		return item
	case stream.Cut:
		r.done = true
		return item.Refusal
	case node.Refused:
		r.done = true
		return item.Refusal
	default:
		r.done = true
		return item
	}
}

func (r *responseReader) countToken() {
	r.tokens++
	tokensTotal.Inc()
	if r.tokens == 1 {
		firstTokenSeconds.UpdateDuration(r.started)
	}
}

// close closes the mailbox. If the response was not read to its end, it reports to
// the core that the caller is gone.
func (r *responseReader) close() {
	r.shell.mailboxes.close(r.id)
	if !r.done {
		r.shell.Send(node.CallerGone{Request: r.id})
	}
}

func (r *responseReader) body(text string, reason *string) completionResponse {
	return completionResponse{ID: r.id, Object: "text_completion", Created: r.started.Unix(), Model: r.model,
		Choices: []choice{{Text: text, FinishReason: reason}}}
}

// writeResponse writes the completion as one JSON object.
func (r *responseReader) writeResponse(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		switch item := r.next().(type) {
		case stream.EmitToken:
			text.WriteString(item.Text)
		case stream.Finish:
			reason := string(item.Reason)
			body := r.body(text.String(), &reason)
			prompt := strings.Count(r.prompt, " ") + 1
			body.Usage = &usage{PromptTokens: prompt, CompletionTokens: item.Tokens, TotalTokens: prompt + item.Tokens}
			writeJSON(ctx, fasthttp.StatusOK, body)
			return
		case verdict.Refusal:
			writeRefusal(ctx, item)
			return
		}
	}
}

// streamResponse writes server-sent events. A refusal before the first token is
// written as a plain refusal. A stream that is cut after the first token ends with an
// error event and without [DONE].
func (s *Shell) streamResponse(ctx *fasthttp.RequestCtx, reader *responseReader) {
	first := reader.next()
	if refusal, ok := first.(verdict.Refusal); ok {
		writeRefusal(ctx, refusal)
		reader.close()
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer reader.close()
		reader.writeEvents(w, first)
	})
}

func (r *responseReader) writeEvents(w *bufio.Writer, item any) {
	for {
		var err error
		switch item := item.(type) {
		case stream.EmitToken:
			err = writeEvent(w, "", r.body(item.Text, nil))
		case stream.Finish:
			reason := string(item.Reason)
			if err = writeEvent(w, "", r.body("", &reason)); err == nil {
				_, err = w.WriteString("data: [DONE]\n\n")
			}
		case verdict.Refusal:
			err = writeEvent(w, "error", newErrorBody(item))
		}
		if err == nil && len(r.queue) == 0 {
			err = w.Flush()
		}
		if err != nil || r.done {
			return
		}
		item = r.next()
	}
}

func writeEvent(w *bufio.Writer, event string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if event != "" {
		if _, err := w.WriteString("event: " + event + "\n"); err != nil {
			return err
		}
	}
	if _, err := w.WriteString("data: "); err != nil {
		return err
	}
	if _, err := w.Write(raw); err != nil {
		return err
	}
	_, err = w.WriteString("\n\n")
	return err
}
