package org.kumquatplank.edge.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Callers that stay connected and send what a listener may have to hold. Thread-safe. */
final class CallerCrowd implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int CONNECT_MILLIS = 3_000;
  private static final int SLOW_READ_BYTES = 1_024;
  private static final long SLOW_READ_MILLIS = 100;

  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new CopyOnWriteArrayList<>();

  /** What one caller sends. */
  interface Sending {
    void to(OutputStream out, int caller) throws IOException;
  }

  /** Opens connections that send at the same time; they stay open and read nothing. */
  void add(int port, int callers, Sending sending) {
    CountDownLatch connected = new CountDownLatch(callers);
    for (int i = 0; i < callers; i++) {
      int caller = i;
      threads.add(Thread.ofVirtual().start(() -> run(port, caller, sending, connected)));
    }
  }

  private void run(int port, int caller, Sending sending, CountDownLatch connected) {
    try {
      Socket socket = new Socket();
      sockets.add(socket);
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      try {
        socket.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
      } finally {
        connected.countDown();
      }
      connected.await(CONNECT_MILLIS, TimeUnit.MILLISECONDS);
      sending.to(socket.getOutputStream(), caller);
      socket.getOutputStream().flush();
    } catch (IOException e) {
      // The instance closed the connection, which it may.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads what the connections receive, a little at a time. */
  void readSlowly() {
    for (Socket socket : sockets) {
      threads.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      while (socket.getInputStream().readNBytes(SLOW_READ_BYTES).length > 0) {
                        Thread.sleep(SLOW_READ_MILLIS);
                      }
                    } catch (IOException e) {
                      // The instance closed the connection, which it may.
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  }));
    }
  }

  /** Returns a request head without its end. */
  static String head(String method, String path, int caller) {
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c-" + caller + "\r\n";
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    threads.forEach(Thread::interrupt);
  }
}
