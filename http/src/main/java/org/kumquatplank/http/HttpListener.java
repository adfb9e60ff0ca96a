package org.kumquatplank.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnectionFactory;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP/1.1 listener that limits connections, message sizes, and the time for reads and writes.
 *
 * <p>Thread-safe. Each connection is served by its own virtual thread.
 *
 * <pre>{@code
 * HttpListener listener = HttpListener.open("127.0.0.1", 8080, ServerLimits.defaults(), handler);
 * listener.close();
 * }</pre>
 */
public final class HttpListener implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);
  private static final int ACCEPT_BACKLOG = 1024;
  private static final String SERVER_NAME = "kumquatplank";

  private final ServerSocket socket;
  private final ServerLimits limits;
  private final BodyBudget budget;
  private final HttpService service;
  private final DefaultBHttpServerConnectionFactory connections;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<ServerConnection> openConnections = ConcurrentHashMap.newKeySet();
  private final Thread acceptThread;
  private volatile boolean accepting = true;
  private volatile boolean closing;

  private HttpListener(ServerSocket socket, ServerLimits limits, Handler handler) {
    this.socket = socket;
    this.limits = limits;
    this.budget = BodyBudget.of(limits.maxHeldBodyBytes());
    Http1Config config =
        Http1Config.custom()
            .setMaxLineLength(limits.maxLineBytes())
            .setMaxHeaderCount(limits.maxHeaderFields())
            .build();
    this.connections = DefaultBHttpServerConnectionFactory.builder().http1Config(config).build();
    this.service =
        new JsonErrorHttpService(
            HttpProcessors.server(SERVER_NAME),
            new HandlerAdapter(handler, limits, budget, this::keepAlive));
    String threadName = "accept-" + socket.getLocalPort();
    this.acceptThread = Thread.ofVirtual().name(threadName).unstarted(this::acceptLoop);
  }

  /**
   * Opens a listener.
   *
   * @param host IP address to listen on
   * @param port port, or 0 to select a free one
   * @throws IllegalStateException when the address can't be listened on
   */
  public static HttpListener open(String host, int port, ServerLimits limits, Handler handler) {
    try {
      ServerSocket socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), ACCEPT_BACKLOG);
      HttpListener listener = new HttpListener(socket, limits, handler);
      listener.acceptThread.start();
      Thread.ofVirtual().name("guard-" + port).start(listener::closeStalledWrites);
      return listener;
    } catch (IOException e) {
      throw new IllegalStateException("can't listen on " + host + ":" + port, e);
    }
  }

  /** Returns the port of the listener. */
  public int port() {
    return socket.getLocalPort();
  }

  /** Returns the number of connections with a request in progress. */
  public int activeRequests() {
    return (int) openConnections.stream().filter(ServerConnection::busy).count();
  }

  /** Returns the memory that the bodies of requests in progress take, bytes. */
  public long heldBodyBytes() {
    return budget.heldBytes();
  }

  /** Stops accepting connections and closes idle ones; requests in progress continue. */
  public void stopAccepting() {
    accepting = false;
    closeQuietly();
    awaitAcceptLoop();
    openConnections.stream().filter(c -> !c.busy()).forEach(ServerConnection::close);
  }

  @Override
  public void close() {
    stopAccepting();
    openConnections.forEach(ServerConnection::close);
    executor.shutdown();
  }

  /**
   * Adds {@code Connection: close} to responses from now on, so that clients reconnect elsewhere.
   */
  public void disableKeepAlive() {
    closing = true;
  }

  private boolean keepAlive() {
    return accepting && !closing;
  }

  private void closeQuietly() {
    try {
      socket.close();
    } catch (IOException e) {
      LOG.debug("closing the listening socket failed: {}", e.getMessage());
    }
  }

  /** Waits for the accept loop, which holds the listening socket open until it ends. */
  private void awaitAcceptLoop() {
    try {
      acceptThread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void acceptLoop() {
    while (accepting) {
      try {
        Socket client = socket.accept();
        if (openConnections.size() >= limits.maxConnections()) {
          client.close();
          continue;
        }
        client.setTcpNoDelay(true);
        executor.execute(() -> serve(client));
      } catch (IOException e) {
        if (accepting) {
          LOG.warn("accept failed: {}", e.getMessage());
        }
      }
    }
  }

  private void serve(Socket client) {
    try (DefaultBHttpServerConnection connection = connections.createConnection(client)) {
      connection.setSocketTimeout(Timeout.of(limits.readTimeout()));
      ServerConnection tracked = new ServerConnection(connection, limits);
      openConnections.add(tracked);
      try {
        HttpCoreContext context = HttpCoreContext.create();
        context.setAttribute(ServerConnection.ATTRIBUTE, tracked);
        while (accepting && connection.isOpen()) {
          service.handleRequest(connection, context);
          tracked.requestEnded();
        }
      } finally {
        openConnections.remove(tracked);
      }
    } catch (IOException | HttpException | RuntimeException e) {
      LOG.debug("connection closed after an error: {}", e.getMessage());
    }
  }

  private void closeStalledWrites() {
    while (accepting || !openConnections.isEmpty()) {
      Instant now = Instant.now();
      openConnections.stream().filter(c -> c.isWriteOverdue(now)).forEach(ServerConnection::close);
      try {
        Thread.sleep(limits.writeTimeout().toMillis() / 4);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** An open connection, with the state that finds idle ones and overdue writes. */
  static final class ServerConnection {
    static final String ATTRIBUTE = "kumquatplank.connection";

    private final DefaultBHttpServerConnection connection;
    private final ServerLimits limits;
    private volatile boolean busy;
    private volatile Instant writeDeadline = Instant.MAX;

    ServerConnection(DefaultBHttpServerConnection connection, ServerLimits limits) {
      this.connection = connection;
      this.limits = limits;
    }

    void requestStarted() {
      busy = true;
    }

    void requestEnded() {
      busy = false;
      writeDeadline = Instant.MAX;
    }

    boolean busy() {
      return busy;
    }

    void beforeWrite() {
      writeDeadline = Instant.now().plus(limits.writeTimeout());
    }

    void afterWrite() {
      writeDeadline = Instant.MAX;
    }

    boolean isWriteOverdue(Instant now) {
      return now.isAfter(writeDeadline);
    }

    void close() {
      connection.close(CloseMode.IMMEDIATE);
    }
  }
}
