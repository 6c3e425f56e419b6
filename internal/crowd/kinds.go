package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

const (
	kib = 1 << 10
	// largeChunk and pieceBytes are the sizes of a large chunk, and of what is written at once
	// of a body that is sent piece by piece.
	largeChunk = 256 * kib
	pieceBytes = 16 * kib
	// tinyChunks is how many chunks of one byte are sent: each costs six bytes on the wire.
	tinyChunks = 256 * kib
	// overLimit is how many times larger than the limit a body over the limit is.
	overLimit = 2
	// farOverBytes is the announced size of a body far over the limit, farOverSent what is sent
	// of it at most.
	farOverBytes = 1 << 30
	farOverSent  = 16 << 20
	// headerBytes is what is sent of a header, an extension or a trailer without an end: less
	// than the limit of a header.
	headerBytes = 15 * kib
	// pipelined is how many requests are sent at once whose responses are not read.
	pipelined = 2000
)

// Kind is a kind of clients that do not behave.
type Kind struct {
	Name string
	send func(w io.Writer, cfg Config) error
	// unread is set if the client does not read the responses.
	unread bool
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		{Name: "large chunks", send: sendLargeChunks},
		{Name: "tiny chunks", send: sendTinyChunks},
		{Name: "chunk announced only", send: sendChunkAnnounced},
		{Name: "chunk extension without an end", send: sendExtension},
		{Name: "trailer without an end", send: sendTrailer},
		{Name: "over the limit, announced", send: sendOverAnnounced},
		{Name: "over the limit, sent", send: sendOverSent},
		{Name: "far over the limit, announced and sent", send: sendFarOver},
		{Name: "legal body, announced only", send: sendAnnouncedOnly},
		{Name: "legal body, whole", send: sendWhole},
		{Name: "legal body, in pieces", send: sendPieces},
		{Name: "header without an end", send: sendHeader},
		{Name: "responses not read", send: sendPipelined, unread: true},
	}
}

func sendLargeChunks(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, chunkedHeader); err != nil {
		return err
	}
	for left := cfg.BodyBytes; left > largeChunk; left -= largeChunk {
		if err := writeChunk(w, largeChunk); err != nil {
			return err
		}
	}
	return writeOpenChunk(w, largeChunk)
}

func sendTinyChunks(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, chunkedHeader); err != nil {
		return err
	}
	const perWrite = 4 * kib
	chunks := bytes.Repeat([]byte("1\r\nx\r\n"), perWrite)
	for range tinyChunks / perWrite {
		if _, err := w.Write(chunks); err != nil {
			return err
		}
	}
	return nil
}

func sendChunkAnnounced(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, chunkedHeader); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%x\r\n", cfg.BodyBytes)
	return err
}

func sendExtension(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, chunkedHeader); err != nil {
		return err
	}
	_, err := io.WriteString(w, "1;"+strings.Repeat("x", headerBytes))
	return err
}

func sendTrailer(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, chunkedHeader); err != nil {
		return err
	}
	_, err := io.WriteString(w, "1\r\nx\r\n0\r\nX-Long: "+strings.Repeat("x", headerBytes))
	return err
}

func sendFarOver(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, lengthHeader(farOverBytes)); err != nil {
		return err
	}
	return writeBody(w, farOverSent, largeChunk)
}

func sendOverAnnounced(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, lengthHeader(overLimit*cfg.BodyBytes)); err != nil {
		return err
	}
	return writeBody(w, pieceBytes, pieceBytes)
}

func sendOverSent(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, chunkedHeader); err != nil {
		return err
	}
	for range overLimit * cfg.BodyBytes / largeChunk {
		if err := writeChunk(w, largeChunk); err != nil {
			return err
		}
	}
	return nil
}

func sendAnnouncedOnly(w io.Writer, cfg Config) error {
	return writeHead(w, cfg, lengthHeader(cfg.BodyBytes))
}

func sendWhole(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, lengthHeader(cfg.BodyBytes)); err != nil {
		return err
	}
	return writeBody(w, cfg.BodyBytes-1, cfg.BodyBytes)
}

func sendPieces(w io.Writer, cfg Config) error {
	if err := writeHead(w, cfg, lengthHeader(cfg.BodyBytes)); err != nil {
		return err
	}
	return writeBody(w, cfg.BodyBytes-1, pieceBytes)
}

func sendHeader(w io.Writer, cfg Config) error {
	_, err := io.WriteString(w, cfg.Header+"X-Long: "+strings.Repeat("x", headerBytes))
	return err
}

func sendPipelined(w io.Writer, cfg Config) error {
	request := cfg.Header + lengthHeader(0) + "\r\n"
	for range pipelined {
		if _, err := io.WriteString(w, request); err != nil {
			return err
		}
	}
	return nil
}

const chunkedHeader = "Transfer-Encoding: chunked\r\n"

func lengthHeader(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

func writeHead(w io.Writer, cfg Config, framing string) error {
	_, err := io.WriteString(w, cfg.Header+framing+"\r\n")
	return err
}

// zeros is what bodies consist of.
var zeros = make([]byte, largeChunk)

// writeBody writes n bytes, at most piece at once.
func writeBody(w io.Writer, n, piece int) error {
	piece = min(piece, len(zeros))
	for n > 0 {
		k, err := w.Write(zeros[:min(n, piece)])
		if err != nil {
			return err
		}
		n -= k
	}
	return nil
}

func writeChunk(w io.Writer, n int) error {
	if _, err := fmt.Fprintf(w, "%x\r\n", n); err != nil {
		return err
	}
	if err := writeBody(w, n, n); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// writeOpenChunk writes all but the last byte of a chunk.
func writeOpenChunk(w io.Writer, n int) error {
	if _, err := fmt.Fprintf(w, "%x\r\n", n); err != nil {
		return err
	}
	return writeBody(w, n-1, n)
}
