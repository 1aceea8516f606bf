package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// receiveBuffer is the size of the system's buffer for what a client has not read yet.
const receiveBuffer = 256 << 10

// httpAnswer is the end of one request over ClickHouse's HTTP interface, as its client sees it.
type httpAnswer struct {
	status, bytes int
	whole         bool // the answer came with all of its body
	text          string
	at            time.Time
}

func (a httpAnswer) String() string {
	if !a.whole {
		return fmt.Sprintf("not whole: status %d, %d bytes, %s", a.status, a.bytes, a.text)
	}
	return fmt.Sprintf("status %d, %d bytes %s", a.status, a.bytes, a.text)
}

// httpClient sends each request with the parameters in the URL.
type httpClient struct {
	addr           string
	bytesPerSecond int // at which answers are read; 0: as they come
	client         *http.Client
}

// newHTTPClient returns a client. keepAlive says whether its connection carries several requests.
func newHTTPClient(addr string, keepAlive bool) *httpClient {
	return &httpClient{addr: addr, client: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: !keepAlive, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(receiveBuffer) // the same on every machine, whatever its defaults
			}
			return conn, err
		}}}}
}

// slowReader reads at most bytesPerSecond.
type slowReader struct {
	io.Reader
	bytesPerSecond int
}

func (s slowReader) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b[:min(len(b), 32<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond))
	return n, err
}

// post sends one statement and reads the whole answer.
func (c *httpClient) post(statement string, parameters url.Values, patience time.Duration) (a httpAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	parameters.Set("user", "acme")
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.addr+"/?"+parameters.Encode(), strings.NewReader(statement))
	if err != nil {
		return httpAnswer{text: err.Error(), at: time.Now()}
	}
	r, err := c.client.Do(request)
	if err != nil {
		return httpAnswer{text: err.Error(), at: time.Now()}
	}
	defer r.Body.Close()
	a.status = r.StatusCode
	body := io.Reader(r.Body)
	if c.bytesPerSecond > 0 {
		body = slowReader{r.Body, c.bytesPerSecond}
	}
	reader := bufio.NewReader(body)
	head, _ := reader.Peek(200)
	first, _, _ := strings.Cut(string(head), "\n")
	n, err := io.Copy(io.Discard, reader)
	a.bytes, a.whole, a.at = int(n), err == nil, time.Now()
	if err != nil {
		a.text = err.Error()
	} else if a.status != 200 {
		a.text = first
	}
	return a
}
