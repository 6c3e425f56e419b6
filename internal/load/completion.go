package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/standin/model"
)

// completion is one request for a completion.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Seed      int64  `json:"seed"`
}

type completionBody struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// completed is what one attempt at a completion brought.
type completed struct {
	text   string
	finish string
	// tokens are the times at which parts of a stream came.
	tokens []time.Time
	// refused is nil for an answer that ended as whole.
	refused *refusal
}

var errBadEvent = errors.New("event is not a completion chunk")

// complete makes one attempt at addr.
func (c *caller) complete(addr string, in completion, opt httpcall.Options) completed {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	body, err := json.Marshal(in)
	if err != nil {
		return completed{refused: failedCall(err)}
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/v1/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set(headerTeam, c.team)
	setTimeout(req, opt)
	req.SetBodyRaw(body)
	if in.Stream {
		return c.completeStream(addr, req, resp, opt)
	}
	if err := c.calls.Do(addr, req, resp, opt); err != nil {
		return completed{refused: failedCall(err)}
	}
	return readCompletion(resp)
}

func readCompletion(resp *fasthttp.Response) completed {
	if resp.StatusCode() != fasthttp.StatusOK {
		return completed{refused: readRefusal(resp, resp.Body())}
	}
	var out completionBody
	if err := json.Unmarshal(resp.Body(), &out); err != nil || len(out.Choices) != 1 {
		return completed{finish: "malformed"}
	}
	done := completed{text: out.Choices[0].Text}
	if reason := out.Choices[0].FinishReason; reason != nil {
		done.finish = *reason
	}
	return done
}

func (c *caller) completeStream(addr string, req *fasthttp.Request, resp *fasthttp.Response, opt httpcall.Options) completed {
	var done completed
	err := c.calls.DoStream(addr, req, resp, opt, c.cfg.TokenTimeout, func(resp *fasthttp.Response, body io.Reader) error {
		if resp.StatusCode() == fasthttp.StatusOK {
			return readEvents(body, &done)
		}
		raw, err := io.ReadAll(body)
		done.refused = readRefusal(resp, raw)
		return err
	})
	if err != nil && done.refused == nil {
		done.refused = failedCall(err)
	}
	return done
}

// readEvents reads server-sent events up to the end of the body. A stream that
// ends without [DONE] is cut.
func readEvents(body io.Reader, done *completed) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	event, ended := "", false
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch {
		case event == "error":
			done.refused = readErrorEvent(data)
		case data == "[DONE]":
			ended = true
		default:
			if err := done.addChunk(data); err != nil {
				return err
			}
		}
		event = ""
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !ended && done.refused == nil {
		return errors.Wrap(io.ErrUnexpectedEOF, causeCut)
	}
	return nil
}

func (d *completed) addChunk(data string) error {
	var out completionBody
	if err := json.Unmarshal([]byte(data), &out); err != nil || len(out.Choices) != 1 {
		return errBadEvent
	}
	d.text += out.Choices[0].Text
	d.tokens = append(d.tokens, time.Now())
	if reason := out.Choices[0].FinishReason; reason != nil {
		d.finish = *reason
	}
	return nil
}

// Judgement on an answer.
type judgement string

const (
	answerRight      judgement = "right"
	answerWrong      judgement = "wrong"
	answerIncomplete judgement = "incomplete"
)

// judge compares what an attempt brought with what the model has to answer. An
// attempt that was cut has to be right as far as it came.
func judge(in completion, layers int, got completed) judgement {
	text, finish := model.ExpectedCompletion(in.Prompt, in.Seed, in.MaxTokens, layers)
	if got.refused != nil {
		if strings.HasPrefix(text, got.text) {
			return answerRight
		}
		return answerWrong
	}
	switch {
	case got.text == text && got.finish == finish:
		return answerRight
	case got.text != text && strings.HasPrefix(text, got.text):
		return answerIncomplete
	default:
		return answerWrong
	}
}
