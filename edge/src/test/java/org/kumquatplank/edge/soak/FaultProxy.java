package org.kumquatplank.edge.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy on loopback that can delay, reset or stall connections. Thread-safe. */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 4_096;
  private static final long POLL_MILLIS = 20;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile Mode mode = Mode.PASS;

  private FaultProxy(ServerSocket listener, InetSocketAddress target) {
    this.listener = listener;
    this.target = target;
  }

  /** How the proxy treats bytes. */
  enum Mode {
    /** Forwards them. */
    PASS,
    /** Forwards each read after a delay. */
    DELAY,
    /** Holds back bytes towards the caller while this mode lasts. */
    ONE_WAY,
    /** Holds back bytes in both directions while this mode lasts. */
    SILENT
  }

  static FaultProxy open(InetSocketAddress target) throws IOException {
    ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    FaultProxy proxy = new FaultProxy(listener, target);
    Thread.ofVirtual().start(proxy::accept);
    return proxy;
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void setMode(Mode newMode) {
    mode = newMode;
  }

  /** Resets all open connections. */
  void reset() {
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // The socket was closed concurrently.
      }
    }
    sockets.clear();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        Socket server = new Socket(target.getAddress(), target.getPort());
        sockets.add(client);
        sockets.add(server);
        Thread.ofVirtual().start(() -> forward(client, server, false));
        Thread.ofVirtual().start(() -> forward(server, client, true));
      } catch (IOException e) {
        // The target does not accept, or this proxy is closed.
      }
    }
  }

  private void forward(Socket from, Socket to, boolean towardsCaller) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        delay(towardsCaller);
        out.write(buffer, 0, n);
      }
    } catch (IOException e) {
      // One side has closed its connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  private void delay(boolean towardsCaller) throws InterruptedException {
    if (mode == Mode.DELAY) {
      Thread.sleep(5 * POLL_MILLIS);
    }
    while (mode == Mode.SILENT || (mode == Mode.ONE_WAY && towardsCaller)) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    reset();
  }
}
