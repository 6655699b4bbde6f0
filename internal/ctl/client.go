package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/tablestore"
)

// client speaks to the operators' interface of one node.
type client struct {
	base  string
	token string
	http  *http.Client
}

// clientFlags are the flags that every command needs that asks a node.
type clientFlags struct {
	node   *string
	token  *string
	output *string
	// authority names a PEM file; with it, the node is asked over TLS.
	authority *string
}

const (
	nodeVariable  = "MICAHAVEN_NODE"
	tokenVariable = "MICAHAVEN_TOKEN"

	authorityVariable = "MICAHAVEN_AUTHORITY"

	clientTimeout = 15 * time.Second
	outputTable   = "table"
	outputJSON    = "json"
)

func addClientFlags(set *flag.FlagSet) clientFlags {
	return clientFlags{
		node:   set.String("node", os.Getenv(nodeVariable), "operators' address of a node, host:port; default from "+nodeVariable),
		token:  set.String("token", os.Getenv(tokenVariable), "operator's token; default from "+tokenVariable),
		output: set.String("output", outputTable, "table or json"),

		authority: set.String("authority", os.Getenv(authorityVariable),
			"PEM file of the authority that signed the nodes' certificates, for TLS; default from "+authorityVariable),
	}
}

func (f clientFlags) client() (*client, error) {
	if *f.node == "" {
		return nil, usageError("flag --node: missing, allowed: host:port, or set %s", nodeVariable)
	}
	if *f.output != outputTable && *f.output != outputJSON {
		return nil, usageError("flag --output: %q, allowed: %s or %s", *f.output, outputTable, outputJSON)
	}
	plain := &http.Client{Timeout: clientTimeout}
	if *f.authority == "" {
		return &client{base: "http://" + *f.node + "/api/v1/", token: *f.token, http: plain}, nil
	}
	text, err := os.ReadFile(*f.authority)
	if err != nil {
		return nil, usageError("flag --authority: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, usageError("flag --authority: %q, allowed: a PEM file with a certificate", *f.authority)
	}
	plain.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return &client{base: "https://" + *f.node + "/api/v1/", token: *f.token, http: plain}, nil
}

func (c *client) get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, nil, nil, into)
}

// change sends a conditional change.
func (c *client) change(ctx context.Context, method, path string, body any, revision int64) (*tablestore.Entry, error) {
	entry := &tablestore.Entry{}
	header := http.Header{"If-Match": []string{fmt.Sprint(revision)}}
	return entry, c.do(ctx, method, path, header, body, entry)
}

func (c *client) do(ctx context.Context, method, path string, header http.Header, body, into any) error {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, &encoded)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask node")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return readFailure(response)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "read answer")
}

// readFailure turns an answer into an error with the right exit code.
func readFailure(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	var failure operator.Failure
	if json.Unmarshal(text, &failure) != nil || failure.Error == "" {
		failure.Error = response.Status + ": " + strings.TrimSpace(string(text))
	}
	switch response.StatusCode {
	case http.StatusConflict:
		current, _ := json.MarshalIndent(failure.Current, "", "  ")
		return errors.Mark(errors.Newf("%s; it now stands as\n%s", failure.Error, current), errConflict)
	case http.StatusGatewayTimeout:
		return errors.Mark(errors.New(failure.Error), errUnsettled)
	case http.StatusBadRequest:
		return errors.Mark(errors.New(failure.Error), errUsage)
	default:
		return errors.New(failure.Error)
	}
}

func identityOf(name string) identity.NodeID { return identity.NodeID(name) }

func writeJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
