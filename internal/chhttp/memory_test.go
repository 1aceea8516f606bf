package chhttp

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"thymeway/internal/coordinator"
)

// bytesHeld returns how many bytes the texts, statements and data of the open requests take.
func (c *fakeCoordinator) bytesHeld() (n int) {
	for _, r := range c.open {
		n += len(r.ClickHouse.Text) + len(r.ClickHouse.Data)
		if r.Statement != r.ClickHouse.Text {
			n += len(r.Statement)
		}
	}
	return n
}

// anyOpen returns an open request.
func (c *fakeCoordinator) anyOpen() *coordinator.Request {
	for _, r := range c.open {
		return r
	}
	return nil
}

// Guards against exceeding the memory limit with bodies that are small as received and large once they are unpacked or filled
// in. Together the open requests must stay within MaxHeldBytes. The others are refused as harmless to retry, on connections that
// stay open, and are accepted once there is room.
func TestUnpackedRequestsExceedMemoryLimit(t *testing.T) {
	const unpackedBytes, maxHeldBytes = 30000, 100000
	insert := "INSERT INTO sales_1.stock VALUES " + strings.Repeat("(17),", unpackedBytes/5) + "(17)"
	rows := strings.Repeat("17\n", unpackedBytes/3)
	pack := func(text, encoding string, blocks bool) string {
		packed, err := compressBody([]byte(text), encoding, blocks, "lz4")
		if err != nil {
			t.Fatal(err)
		}
		return string(packed)
	}
	for name, c := range map[string]struct{ target, encoding, body string }{
		"gzip":       {"/?", "gzip", pack(insert, "gzip", false)},
		"zstd":       {"/?", "zstd", pack(insert, "zstd", false)},
		"lz4":        {"/?", "lz4", pack(insert, "lz4", false)},
		"blocks":     {"/?decompress=1&", "", pack(insert, "", true)},
		"data":       {"/?query=INSERT+INTO+sales_1.stock+FORMAT+TSV&", "gzip", pack(rows, "gzip", false)},
		"parameters": {"/?param_p=" + strings.Repeat("x", 3500) + "&", "", "SELECT a FROM sales_1.stock WHERE b IN (1" + strings.Repeat(",{p:String}", 10) + ")"},
	} {
		t.Run(name, func(t *testing.T) {
			srv, coord, _ := newTestServer(t)
			srv.MaxHeldBytes = maxHeldBytes
			request := fmt.Sprintf("POST %suser=acme HTTP/1.1\r\nHost: x\r\nContent-Encoding: %s\r\nContent-Length: %d\r\n\r\n%s",
				c.target, c.encoding, len(c.body), c.body)
			var refused []*Session
			for range 8 {
				session, conn := srv.Accept(), &fakeConn{}
				session.Opened(conn)
				session.Received([]byte(request))
				if held := coord.bytesHeld(); held > srv.HeldBytes() || srv.HeldBytes() > maxHeldBytes {
					t.Fatalf("%d bytes are held, %d are counted", held, srv.HeldBytes())
				}
				if session.query != nil {
					continue
				}
				refused = append(refused, session)
				if out := conn.output.String(); !strings.HasPrefix(out, "HTTP/1.1 503") || !strings.Contains(out, "Code: 241") || conn.closed {
					t.Fatalf("closed %v: %q", conn.closed, out)
				}
			}
			accepted := len(coord.open)
			if accepted == 0 || len(refused) == 0 {
				t.Fatalf("%d requests are open, %d were refused", accepted, len(refused))
			}
			open := coord.anyOpen()
			delete(coord.open, open.ID)
			open.Client.Refuse(0)
			refused[0].Received([]byte(request))
			if len(coord.open) != accepted {
				t.Errorf("%d requests are open after one of %d has ended and another came", len(coord.open), accepted)
			}
		})
	}
}

// Guards against a small request that takes much memory: a text that names a long parameter many times.
func TestRepeatedParameterExceedsBodyLimit(t *testing.T) {
	srv, coord, _ := newTestServer(t)
	session, conn := srv.Accept(), &fakeConn{}
	session.Opened(conn)
	body := "SELECT 1" + strings.Repeat(",{p:String}", 8000)
	session.Received([]byte(fmt.Sprintf("POST /?user=acme&param_p=%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s",
		strings.Repeat("x", 50000), len(body), body)))
	if out := conn.output.String(); len(coord.open) != 0 || !strings.Contains(out, "Code: 396") {
		t.Errorf("%d requests are open and hold %d bytes; answer %q", len(coord.open), coord.bytesHeld(), out)
	}
}

// Guards against exceeding the memory limit with heads: those whose body has not come yet count towards MaxHeldBytes, and an open
// query does not keep its whole head in memory.
func TestHeadsExceedMemoryLimit(t *testing.T) {
	const sessions, fieldBytes, maxHeldBytes = 100, 50 << 10, 1 << 20
	head := "POST /?user=acme&database=lake HTTP/1.1\r\nHost: x\r\nX-ClickHouse-Format: TabSeparated\r\nX-Order-Key: k1\r\nX-Long: " +
		strings.Repeat("x", fieldBytes) + "\r\nContent-Length: 8\r\n\r\n"
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	for _, complete := range []bool{false, true} {
		srv, coord, _ := newTestServer(t)
		srv.MaxHeldBytes, srv.ConnLimiter.MaxConnections = maxHeldBytes, sessions
		var open []*Session
		before := heap()
		for range sessions {
			session, conn := srv.Accept(), &fakeConn{}
			session.Opened(conn)
			session.Received([]byte(head))
			if complete {
				session.Received([]byte("SELECT 7"))
			}
			if !session.closed {
				open = append(open, session)
			}
		}
		grown := int(heap()) - int(before)
		runtime.KeepAlive(open)
		if grown > 2*maxHeldBytes || srv.HeldBytes() > maxHeldBytes {
			t.Errorf("complete %v: %d requests take %d bytes, %d are counted of %d", complete, len(open), grown, srv.HeldBytes(), maxHeldBytes)
		}
		if complete && (len(open) != sessions || len(coord.open) != sessions) {
			t.Errorf("%d queries are open, %d sessions, want %d", len(coord.open), len(open), sessions)
		}
	}
}
