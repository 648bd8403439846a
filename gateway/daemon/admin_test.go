package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"

	"siskinstand.example/service/certs"
)

// Guards against readiness checks that pass while the gateway cannot serve, and
// against metrics that lack the gateway's requests.
func TestAdmin(t *testing.T) {
	f := startGateway(t, "", startSidecar(t, "e1", respondWith("x"), nil))
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + f.daemon.AdminAddress() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(data)
	}
	for _, path := range []string{"/healthz", "/readyz"} {
		if status, body := get(path); status != http.StatusOK {
			t.Errorf("%s = %d %s, want 200", path, status, body)
		}
	}
	f.call("POST", chatPath, chatBody, nil)
	series, err := f.daemon.Burn.Series([]string{"a1"})
	if err != nil || len(series) == 0 || series[0].Good != 1 || series[0].Total != 1 {
		t.Errorf("objectives = %+v, %v, want 1 good of 1 in the first series", series, err)
	}
	eventually(t, "metrics of the request", func() bool {
		_, body := get("/metrics")
		return strings.Contains(body, `gateway_completed_requests{process="g1",zone="z1"} 1`) &&
			strings.Contains(body, `gateway_usable_endpoints{pool="p1",process="g1",zone="z1"} 1`) &&
			strings.Contains(body, `gateway_burn_events{class="1k",objective="answered",process="g1",service="m1",window="5m",zone="z1"} 1`) &&
			strings.Contains(body, `gateway_burn_rate{class="1k",objective="answered",process="g1",service="m1",window="6h",zone="z1"} 0`) &&
			strings.Contains(body, `gateway_suspects{process="g1",zone="z1"} 0`)
	})
	go f.daemon.Drain(t.Context())
	eventually(t, "the drain", f.daemon.callerServer.Draining)
	if status, body := get("/readyz"); status != http.StatusServiceUnavailable || body != "shutting down\n" {
		t.Errorf("/readyz while shutting down = %d %q, want 503 \"shutting down\\n\"", status, body)
	}
}

// testAuthority is a certificate authority for tests.
type testAuthority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestAuthority(t *testing.T, dir string) *testAuthority {
	a := &testAuthority{t: t, dir: dir}
	a.cert, a.key = a.sign("authority", nil)
	return a
}

func (a *testAuthority) sign(name string, parent *testAuthority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	template := &x509.Certificate{
		SerialNumber: serial, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true, IsCA: parent == nil,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	issuer, issuerKey := template, key
	if parent != nil {
		issuer, issuerKey = parent.cert, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer, &key.PublicKey, issuerKey)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", keyDER)
	cert, _ := x509.ParseCertificate(der)
	return cert, key
}

func (a *testAuthority) write(name, kind string, der []byte) {
	if err := os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// Guards against plaintext or unverified connections when TLS is configured, and
// against renewed keys that take effect only after a restart.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	ca := newTestAuthority(t, dir)
	ca.sign("peer", ca)
	first, _ := ca.sign("caller", ca)
	path := func(name string) string { return filepath.Join(dir, name) }
	peer, err := certs.Load(certs.Files{Certificate: path("peer.pem"), Key: path("peer.key"), Authority: path("authority.pem")})
	if err != nil {
		t.Fatal(err)
	}
	caller, err := certs.Load(certs.Files{Certificate: path("caller.pem"), Key: path("caller.key")})
	if err != nil {
		t.Fatal(err)
	}
	f := startGatewayWithTLS(t, TLSKeys{Callers: caller, Peers: peer}, "[tls]\nreload = 50ms\n", startSidecar(t, "e1", respondWith("x"), credentials.NewTLS(peer.ServerConfig())))
	roots := x509.NewCertPool()
	roots.AddCert(ca.cert)
	serial := func() *big.Int {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableKeepAlives: true, ForceAttemptHTTP2: true}}
		r := f.request("POST", chatPath, chatBody, nil)
		r.URL.Scheme = "https"
		response, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK || response.ProtoMajor != 2 {
			t.Fatalf("status %d over TLS, want 200 over HTTP/2", response.StatusCode)
		}
		return response.TLS.PeerCertificates[0].SerialNumber
	}
	if serial().Cmp(first.SerialNumber) != 0 {
		t.Error("the gateway did not present its caller certificate")
	}
	second, _ := ca.sign("caller", ca)
	eventually(t, "the reload of the certificate", func() bool { return serial().Cmp(second.SerialNumber) == 0 })

	unknownCA := newTestAuthority(t, t.TempDir())
	unknownCA.sign("peer", unknownCA)
	unknownPeer, err := certs.Load(certs.Files{Certificate: filepath.Join(unknownCA.dir, "peer.pem"), Key: filepath.Join(unknownCA.dir, "peer.key"), Authority: path("authority.pem")})
	if err != nil {
		t.Fatal(err)
	}
	l, err := tls.Listen("tcp", "127.0.0.1:0", peer.ServerConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			conn.(*tls.Conn).HandshakeContext(context.Background())
			conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), unknownPeer.ClientConfig())
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	if err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a certificate of an unknown authority: error %v, want a failed handshake", err)
	}
}
