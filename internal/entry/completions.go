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

// defaultMaxTokens is the length of an answer whose caller names none.
const defaultMaxTokens = 256

// completionBody is a caller's request body.
type completionBody struct {
	Model     ident.Service `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Seed      int64         `json:"seed"`
	Priority  int           `json:"priority"`
}

// answerBody is a whole answer, or one event of a streamed one.
type answerBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   ident.Service `json:"model"`
	Choices []choiceBody  `json:"choices"`
	Usage   *usageBody    `json:"usage,omitempty"`
}

type choiceBody struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

var (
	firstTokenSeconds = metrics.NewHistogram("catkin_entry_first_token_seconds")
	tokensOut         = metrics.NewCounter("catkin_entry_tokens_total")
)

// parseCompletion reads and checks a request body.
func parseCompletion(raw []byte) (completionBody, error) {
	body := completionBody{MaxTokens: defaultMaxTokens}
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
		writeRefusal(ctx, badRequest("want POST"))
		return
	}
	body, err := parseCompletion(ctx.PostBody())
	if err != nil {
		writeRefusal(ctx, badRequest("the body is not one JSON object of a completion: "+err.Error()))
		return
	}
	wait, ok := timeout(ctx, s.cfg.DefaultTimeout)
	if !ok {
		writeRefusal(ctx, badRequest(headerTimeout+" wants a number of milliseconds from 1 to 3600000"))
		return
	}
	box := s.boxes.open(id)
	started := time.Now()
	s.Send(node.CompletionAsked{
		Request: id, Team: ident.Team(ctx.Request.Header.Peek(headerTeam)), Model: body.Model, Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, Prefixes: prefixesOf(body.Prompt), Seed: body.Seed, Priority: body.Priority, Deadline: s.Now() + wait,
	})
	answer := &answerReader{shell: s, id: id, box: box, started: started, model: body.Model, prompt: body.Prompt}
	if body.Stream {
		s.streamAnswer(ctx, answer)
		return
	}
	defer answer.close()
	answer.writeWhole(ctx)
}

// answerReader reads one request's mailbox.
type answerReader struct {
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

// next returns the next item: stream.EmitToken, stream.Finish, or a refusal.
func (r *answerReader) next() any {
	if len(r.queue) == 0 {
		r.queue = r.box.take(r.shell.Ctx.Done())
	}
	if len(r.queue) == 0 {
		r.done = true
		return verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: verdict.CauseLeaving, Detail: "the entry ended"}
	}
	item := r.queue[0]
	r.queue = r.queue[1:]
	switch item := item.(type) {
	case stream.EmitToken:
		r.count()
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

func (r *answerReader) count() {
	r.tokens++
	tokensOut.Inc()
	if r.tokens == 1 {
		firstTokenSeconds.UpdateDuration(r.started)
	}
}

// close ends the request; the core is told if the answer was not read to its end.
func (r *answerReader) close() {
	r.shell.boxes.close(r.id)
	if !r.done {
		r.shell.Send(node.CallerGone{Request: r.id})
	}
}

func (r *answerReader) body(text string, reason *string) answerBody {
	return answerBody{ID: r.id, Object: "text_completion", Created: r.started.Unix(), Model: r.model,
		Choices: []choiceBody{{Text: text, FinishReason: reason}}}
}

// writeWhole writes the answer in one piece.
func (r *answerReader) writeWhole(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		switch item := r.next().(type) {
		case stream.EmitToken:
			text.WriteString(item.Text)
		case stream.Finish:
			reason := string(item.Reason)
			body := r.body(text.String(), &reason)
			prompt := strings.Count(r.prompt, " ") + 1
			body.Usage = &usageBody{PromptTokens: prompt, CompletionTokens: item.Tokens, TotalTokens: prompt + item.Tokens}
			writeJSON(ctx, fasthttp.StatusOK, body)
			return
		case verdict.Refusal:
			writeRefusal(ctx, item)
			return
		}
	}
}

// streamAnswer writes server-sent events. A refusal before the first token is a
// plain refusal; a cut after it is an explicit error event and no normal end.
func (s *Shell) streamAnswer(ctx *fasthttp.RequestCtx, answer *answerReader) {
	first := answer.next()
	if refusal, ok := first.(verdict.Refusal); ok {
		writeRefusal(ctx, refusal)
		answer.close()
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer answer.close()
		answer.writeEvents(w, first)
	})
}

func (r *answerReader) writeEvents(w *bufio.Writer, item any) {
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
			err = writeEvent(w, "error", errorOf(item))
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
