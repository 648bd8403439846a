package peerclient

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/coord/group"
	"siskinstand.example/peerpb"
	"siskinstand.example/service/certs"
)

// testCA is a certificate authority that signs the certificates of one fleet.
type testCA struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	path        string
}

func newTestCA(t *testing.T) *testCA {
	ca := &testCA{t: t}
	ca.key, ca.certificate, ca.path, _ = ca.issue(nil, true)
	return ca
}

// issue creates a certificate signed by parent, or a self-signed one, and
// writes it and its key to files.
func (ca *testCA) issue(parent *testCA, isAuthority bool) (*ecdsa.PrivateKey, *x509.Certificate, string, string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		ca.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: isAuthority, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.certificate, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	if err != nil {
		ca.t.Fatal(err)
	}
	certificate, _ := x509.ParseCertificate(der)
	private, _ := x509.MarshalPKCS8PrivateKey(key)
	dir := ca.t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			ca.t.Fatal(err)
		}
		return path
	}
	return key, certificate, write("cert.pem", "CERTIFICATE", der), write("key.pem", "PRIVATE KEY", private)
}

func (ca *testCA) newReloader() *certs.Reloader {
	_, _, certificatePath, keyPath := ca.issue(ca, false)
	r, err := certs.Load(certs.Files{Certificate: certificatePath, Key: keyPath, Authority: ca.path})
	if err != nil {
		ca.t.Fatal(err)
	}
	return r
}

func (ca *testCA) serverCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(ca.newReloader().ServerConfig())
}

func (ca *testCA) clientCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(ca.newReloader().ClientConfig())
}

type fakeSidecar struct {
	peerpb.UnimplementedSidecarServer
	held bool
}

func (s *fakeSidecar) Hold(context.Context, *peerpb.HoldRequest) (*peerpb.HoldResponse, error) {
	return &peerpb.HoldResponse{Held: s.held}, nil
}

// Guards against a client or server that accepts a peer with a certificate from
// outside the fleet, and against treating a refused renewal as a failed call.
func TestRenewHoldRequiresFleetCertificate(t *testing.T) {
	fleet, otherFleet := newTestCA(t), newTestCA(t)
	serve := func(c credentials.TransportCredentials, held bool) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := grpc.NewServer(grpc.Creds(c))
		peerpb.RegisterSidecarServer(server, &fakeSidecar{held: held})
		go server.Serve(listener)
		t.Cleanup(server.Stop)
		return listener.Addr().String()
	}
	tests := map[string]struct {
		address string
		client  credentials.TransportCredentials
		held    bool
		wantErr bool
	}{
		"same fleet":              {serve(fleet.serverCredentials(), true), fleet.clientCredentials(), true, false},
		"refused":                 {serve(fleet.serverCredentials(), false), fleet.clientCredentials(), false, false},
		"client of another fleet": {serve(fleet.serverCredentials(), true), otherFleet.clientCredentials(), false, true},
		"server of another fleet": {serve(otherFleet.serverCredentials(), true), fleet.clientCredentials(), false, true},
		"client without TLS":      {serve(fleet.serverCredentials(), true), insecure.NewCredentials(), false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			pool := NewConnectionPool(&peerpb.Sender{}, tc.client)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			held, err := pool.RenewHold(ctx, group.Member{Address: tc.address, HoldID: "h"}, "g", time.Second)
			if held != tc.held || (err != nil) != tc.wantErr {
				t.Errorf("RenewHold = %v, %v; want held %v, error %v", held, err, tc.held, tc.wantErr)
			}
		})
	}
}
