package handover

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinpick/internal/discovery"
)

const testTimeout = 20 * time.Second

// listOfVersion returns a list that a process holds.
func listOfVersion(version int64) *discovery.HeldList {
	return &discovery.HeldList{Source: discovery.Source{Address: "127.0.0.1:1"},
		List: &discovery.List{Version: version, Snapshot: true, Endpoints: []discovery.Endpoint{}}}
}

// listenForClients returns a listener that a predecessor hands over.
func listenForClients(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// startServer starts the server of a predecessor that holds the list of the version in held (0: none), and passes the
// lists of its successor to received.
func startServer(t *testing.T, dir string, held *atomic.Int64, received chan discovery.HeldList) *Server {
	t.Helper()
	server, err := Start(dir, listenForClients(t), Hooks{
		ExportState:           func() (State, error) { return State{SharesExecutions: true, SharesList: true}, nil },
		SuccessorDisconnected: func() {},
		SuccessorServing:      func() []uint64 { return nil },
		HeldList: func() *discovery.HeldList {
			if version := held.Load(); version > 0 {
				return listOfVersion(version)
			}
			return nil
		},
		Receiver: Receiver{Executed: func(Execution) {}, EndpointList: func(list discovery.HeldList) { received <- list }},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// expectVersion checks the version of the next list that a process receives.
func expectVersion(t *testing.T, received chan discovery.HeldList, want int64) {
	t.Helper()
	select {
	case list := <-received:
		if list.List.Version != want {
			t.Errorf("received the list of version %d, want %d", list.List.Version, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the list of version %d was not received within %v", want, testTimeout)
	}
}

// TestListsReachOtherProcess checks that a successor gets the list that its predecessor holds when it connects, and that
// each process gets the other's later ones.
func TestListsReachOtherProcess(t *testing.T) {
	dir, fromSuccessor, fromPredecessor := t.TempDir(), make(chan discovery.HeldList, 1), make(chan discovery.HeldList, 1)
	var held atomic.Int64
	held.Store(5)
	server := startServer(t, dir, &held, fromSuccessor)
	successor := ConnectPredecessor(dir, slog.New(slog.DiscardHandler))
	if successor == nil {
		t.Fatal("the successor found no predecessor")
	}
	defer successor.Listener.Close()
	if successor.List == nil || successor.List.List.Version != 5 {
		t.Fatalf("the successor got the list %+v, want version 5", successor.List)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		successor.AwaitExit(Receiver{Executed: func(Execution) {}, EndpointList: func(list discovery.HeldList) { fromPredecessor <- list }})
	}()
	defer func() { successor.Close(); <-ended }()
	held.Store(6)
	server.NotifyListChanged()
	expectVersion(t, fromPredecessor, 6)
	successor.ShareLists(func() *discovery.HeldList { return listOfVersion(7) })
	successor.NotifyListChanged()
	expectVersion(t, fromSuccessor, 7)
}

// TestPredecessorWithoutListIsInherited checks that a predecessor that holds no list hands over the rest.
func TestPredecessorWithoutListIsInherited(t *testing.T) {
	dir := t.TempDir()
	startServer(t, dir, &atomic.Int64{}, nil)
	successor := ConnectPredecessor(dir, slog.New(slog.DiscardHandler))
	if successor == nil || successor.List != nil {
		t.Fatalf("got %+v, want a predecessor without a list", successor)
	}
	successor.Listener.Close()
	successor.Close()
}

// TestListIsNotSentToOlderSuccessor guards against an upgrade that fails since the successor's version does not know
// messages with lists: it has not asked for any.
func TestListIsNotSentToOlderSuccessor(t *testing.T) {
	dir := t.TempDir()
	var held atomic.Int64
	held.Store(5)
	server := startServer(t, dir, &held, nil)
	conn, err := net.Dial("unix", filepath.Join(dir, socketName))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(conn)
	if _, err := reader.ReadBytes('\n'); err != nil { // the byte with the listener, which is not taken, and the state
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte{kindServing}); err != nil {
		t.Fatal(err)
	}
	for !server.SuccessorServing() {
		time.Sleep(time.Millisecond)
	}
	server.NotifyListChanged()
	server.ShareExecution(Execution{ID: 1, Executed: true})
	if kind, err := reader.ReadByte(); err != nil || kind != kindExecuted {
		t.Errorf("got the message %q, error %v, want the request alone", kind, err)
	}
}

// fakePredecessor hands over a listener and a state to one successor, and then plays a conversation with it.
func fakePredecessor(t *testing.T, dir string, state State, converse func(conn *net.UnixConn)) {
	t.Helper()
	clients := listenForClients(t)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Net: "unix", Name: filepath.Join(dir, socketName)})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-ended })
	go func() {
		defer close(ended)
		conn, err := l.AcceptUnix()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		line, err := json.Marshal(state)
		if err != nil {
			t.Error(err)
			return
		}
		raw, err := clients.SyscallConn()
		if err != nil {
			t.Error(err)
			return
		}
		_ = raw.Control(func(fd uintptr) { _, _, err = conn.WriteMsgUnix([]byte{0}, syscall.UnixRights(int(fd)), nil) })
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Write(append(line, '\n'))
		converse(conn)
	}()
}

// TestOlderPredecessorIsNotAskedForLists guards against an upgrade that fails since the predecessor's version does not
// know the request for lists.
func TestOlderPredecessorIsNotAskedForLists(t *testing.T) {
	dir, first := t.TempDir(), make(chan byte, 1)
	fakePredecessor(t, dir, State{SharesExecutions: true}, func(conn *net.UnixConn) {
		var kind [1]byte
		_, _ = io.ReadFull(conn, kind[:])
		first <- kind[0]
	})
	successor := ConnectPredecessor(dir, slog.New(slog.DiscardHandler))
	if successor == nil || successor.List != nil {
		t.Fatalf("got %+v, want a predecessor without a list", successor)
	}
	defer successor.Listener.Close()
	defer successor.Close()
	successor.ShareLists(func() *discovery.HeldList { return listOfVersion(7) })
	successor.NotifyListChanged()
	if err := successor.NotifyServing(); err != nil {
		t.Fatal(err)
	}
	if kind := <-first; kind != kindServing {
		t.Errorf("the first message is %q, want %q", kind, kindServing)
	}
}

// TestPredecessorKilledWhileItSendsList checks that a successor keeps what it has of a predecessor that is killed
// in the middle of a message.
func TestPredecessorKilledWhileItSendsList(t *testing.T) {
	dir := t.TempDir()
	fakePredecessor(t, dir, State{SharesList: true}, func(conn *net.UnixConn) {
		var kind [1]byte
		_, _ = io.ReadFull(conn, kind[:])
		second := encodeList(listOfVersion(6))
		_, _ = conn.Write(append(encodeList(listOfVersion(5)), second[:len(second)-1]...))
	})
	successor := ConnectPredecessor(dir, slog.New(slog.DiscardHandler))
	if successor == nil || successor.List == nil || successor.List.List.Version != 5 {
		t.Fatalf("got %+v, want a predecessor with the list of version 5", successor)
	}
	defer successor.Listener.Close()
	successor.AwaitExit(Receiver{EndpointList: func(list discovery.HeldList) { t.Errorf("received the list %+v, want none", list) }})
}

// TestTooLongListIsSentAsNone checks that a list that the other process would not read does not end the upgrade.
func TestTooLongListIsSentAsNone(t *testing.T) {
	list := listOfVersion(5)
	list.Source.Address = string(make([]byte, discovery.MaxHeldListBytes))
	if got := encodeList(list); len(got) != 1+listLengthBytes {
		t.Errorf("a list that is too long is sent as %d bytes, want none of it", len(got))
	}
}
