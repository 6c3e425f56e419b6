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

// completionRequest is the body of a request to /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Seed      int64  `json:"seed"`
}

type completionResponse struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// completionResult is the result of one attempt at a completion.
type completionResult struct {
	text   string
	finish string
	// tokens are the arrival times of a stream's chunks.
	tokens []time.Time
	// refused is nil for an answer that ended without an error.
	refused *refusal
}

var errMalformedEvent = errors.New("event is not a completion chunk")

// requestCompletion makes one attempt at addr.
func (c *caller) requestCompletion(addr string, in completionRequest, opt httpcall.Options) completionResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	body, err := json.Marshal(in)
	if err != nil {
		return completionResult{refused: noAnswer(err)}
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/v1/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set(headerTeam, c.team)
	setTimeoutHeader(req, opt)
	req.SetBodyRaw(body)
	if in.Stream {
		return c.requestStream(addr, req, resp, opt)
	}
	if err := c.client.Do(addr, req, resp, opt); err != nil {
		return completionResult{refused: noAnswer(err)}
	}
	return parseCompletion(resp)
}

func parseCompletion(resp *fasthttp.Response) completionResult {
	if resp.StatusCode() != fasthttp.StatusOK {
		return completionResult{refused: parseRefusal(resp, resp.Body())}
	}
	var out completionResponse
	if err := json.Unmarshal(resp.Body(), &out); err != nil || len(out.Choices) != 1 {
		return completionResult{finish: "malformed"}
	}
	result := completionResult{text: out.Choices[0].Text}
	if reason := out.Choices[0].FinishReason; reason != nil {
		result.finish = *reason
	}
	return result
}

func (c *caller) requestStream(addr string, req *fasthttp.Request, resp *fasthttp.Response, opt httpcall.Options) completionResult {
	var result completionResult
	err := c.client.DoStream(addr, req, resp, opt, c.cfg.TokenTimeout, func(resp *fasthttp.Response, body io.Reader) error {
		if resp.StatusCode() == fasthttp.StatusOK {
			return readEvents(body, &result)
		}
		raw, err := io.ReadAll(body)
		result.refused = parseRefusal(resp, raw)
		return err
	})
	if err != nil && result.refused == nil {
		result.refused = noAnswer(err)
	}
	return result
}

// readEvents reads server-sent events up to the end of the body. A stream that ends
// without [DONE] or an error event is an error.
func readEvents(body io.Reader, result *completionResult) error {
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
			result.refused = parseErrorEvent(data)
		case data == "[DONE]":
			ended = true
		default:
			if err := result.addChunk(data); err != nil {
				return err
			}
		}
		event = ""
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !ended && result.refused == nil {
		return errors.Wrap(io.ErrUnexpectedEOF, causeStreamCut)
	}
	return nil
}

func (r *completionResult) addChunk(data string) error {
	var out completionResponse
	if err := json.Unmarshal([]byte(data), &out); err != nil || len(out.Choices) != 1 {
		return errMalformedEvent
	}
	r.text += out.Choices[0].Text
	r.tokens = append(r.tokens, time.Now())
	if reason := out.Choices[0].FinishReason; reason != nil {
		r.finish = *reason
	}
	return nil
}

// answerCheck is the result of comparing an answer with the model's.
type answerCheck string

const (
	answerRight      answerCheck = "right"
	answerWrong      answerCheck = "wrong"
	answerIncomplete answerCheck = "incomplete"
)

// compareWithModel compares the result of an attempt with the model's answer. A refused
// attempt is right if its text is a prefix of that answer.
func compareWithModel(in completionRequest, layers int, got completionResult) answerCheck {
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
