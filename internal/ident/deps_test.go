// Keeps every declared dependency in go.mod until its slice has landed.
package ident

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/cockroachdb/errors"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/rs/zerolog"
	_ "github.com/spf13/cobra"
	_ "github.com/spf13/cobra/doc"
	_ "github.com/stretchr/testify/require"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/fasthttp/fasthttputil"
	_ "go.uber.org/goleak"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/grpc"
	_ "google.golang.org/grpc/credentials"
	_ "google.golang.org/grpc/health"
	_ "google.golang.org/grpc/keepalive"
	_ "pgregory.net/rapid"
)
