package org.kumquatplank.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnectionFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.http.protocol.RequestUserAgent;

/**
 * An HTTP client that reports for a failed request whether it may have been sent.
 *
 * <p>Thread-safe. Idle connections are pooled for a short time. A request may require a new
 * connection, since a pooled one may have stopped responding without being closed.
 *
 * <pre>{@code
 * try (ClientResponse response = client.send("127.0.0.1:8080", Request.get("/status"), deadline, REUSE)) {
 *   String body = response.readBody(deadline);
 * }
 * }</pre>
 */
public final class PooledHttpClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);

  /**
   * Limit on the bytes of a larger request body that are written before the server takes them. A
   * server that responds before it has read the body and resets the connection then fails the
   * write, so that a part of its response is not taken for the whole.
   */
  private static final int UPLOAD_BUFFER_BYTES = 128 * 1024;

  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);

  /** Idle time from which a pooled connection is checked for closure before its reuse. */
  private static final Duration STALE_CHECK_IDLE_TIME = Duration.ofSeconds(1);

  // Doesn't send Expect: 100-continue: a server that has already read a small body may omit the
  // interim response, for which the client would then wait for seconds.
  private static final HttpProcessor PROCESSOR =
      HttpProcessorBuilder.create()
          .addAll(
              RequestTargetHost.INSTANCE,
              RequestContent.INSTANCE,
              RequestConnControl.INSTANCE,
              new RequestUserAgent("kumquatplank"))
          .build();

  private final DefaultBHttpClientConnectionFactory connections =
      DefaultBHttpClientConnectionFactory.builder()
          .responseParserFactory(new DefaultHttpResponseParserFactory(new StatusLineParser(), null))
          .build();
  private final HttpRequestExecutor executor = new HttpRequestExecutor();
  private final ConcurrentHashMap<String, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();

  private PooledHttpClient() {}

  /** Whether a request may use a pooled connection. */
  public enum Reuse {
    /** Uses a pooled connection if there is one. */
    REUSE,
    /** Opens a new connection. */
    FRESH
  }

  /** A pooled connection and the time until which it may be reused. */
  private record IdleConnection(ClientConnection connection, Instant expiresAt) {}

  /** Returns a client with an empty pool. */
  public static PooledHttpClient create() {
    return new PooledHttpClient();
  }

  /**
   * Sends a request and returns when the head of the response has arrived.
   *
   * @param endpoint IP address and port, {@code a.b.c.d:port}
   * @param deadline time by which the head of the response must arrive
   * @throws CallException when no response arrives; reports whether the request may have been sent
   */
  public ClientResponse send(String endpoint, Request request, Instant deadline, Reuse reuse) {
    ClientConnection connection = connect(endpoint, reuse);
    try (WriteDeadline writeDeadline = WriteDeadline.of(connection, deadline)) {
      connection.setDeadline(deadline);
      if (request.body().length() > UPLOAD_BUFFER_BYTES) {
        connection.setSendBufferSize(UPLOAD_BUFFER_BYTES);
        writeDeadline.start();
      }
      HttpCoreContext context = HttpCoreContext.create();
      BasicClassicHttpRequest httpRequest = toMessage(endpoint, request);
      executor.preProcess(httpRequest, PROCESSOR, context);
      ClassicHttpResponse response = executor.execute(httpRequest, connection.http(), context);
      executor.postProcess(response, PROCESSOR, context);
      return new ClientResponse(this, endpoint, connection, response);
    } catch (IOException | HttpException | RuntimeException e) {
      connection.close();
      throw CallException.maybeSent(endpoint, e);
    }
  }

  /**
   * Sends a request and returns the complete response.
   *
   * @throws CallException when no complete response arrives; reports whether the request may have
   *     been sent
   */
  public FullResponse exchange(String endpoint, Request request, Instant deadline, Reuse reuse) {
    try (ClientResponse reply = send(endpoint, request, deadline, reuse)) {
      return new FullResponse(reply.status(), reply.headers(), reply.readBody(deadline));
    }
  }

  /**
   * A complete response.
   *
   * @param status HTTP status
   * @param headers header fields
   * @param body the body
   */
  public record FullResponse(int status, Headers headers, String body) {
    private static final int FIRST_UNSUCCESSFUL_STATUS = 300;

    /** Returns whether the status is below 300. */
    public boolean isSuccess() {
      return status < FIRST_UNSUCCESSFUL_STATUS;
    }
  }

  private ClientConnection connect(String endpoint, Reuse reuse) {
    if (reuse == Reuse.REUSE) {
      Optional<ClientConnection> pooled = takeIdle(endpoint);
      if (pooled.isPresent()) {
        return pooled.get();
      }
    }
    try {
      int colon = endpoint.lastIndexOf(':');
      int port = Integer.parseInt(endpoint.substring(colon + 1));
      DeadlineSocket socket = new DeadlineSocket();
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(endpoint.substring(0, colon), port),
          (int) CONNECT_TIMEOUT.toMillis());
      return new ClientConnection(connections.createConnection(socket), socket);
    } catch (IOException | RuntimeException e) {
      throw CallException.notSent(endpoint, e);
    }
  }

  private Optional<ClientConnection> takeIdle(String endpoint) {
    Deque<IdleConnection> pooled = idle.get(endpoint);
    IdleConnection next = pooled == null ? null : pooled.pollLast();
    while (next != null) {
      if (isUsable(next)) {
        return Optional.of(next.connection());
      }
      next.connection().close();
      next = pooled.pollLast();
    }
    return Optional.empty();
  }

  /**
   * Returns whether a pooled connection is neither expired nor closed by the server.
   *
   * <p>The stale check of the library blocks for a millisecond, which is too expensive for a
   * connection that was used recently.
   */
  private static boolean isUsable(IdleConnection pooled) {
    Instant now = Instant.now();
    if (!now.isBefore(pooled.expiresAt())) {
      return false;
    }
    boolean usedRecently =
        now.isBefore(pooled.expiresAt().minus(IDLE_TIMEOUT).plus(STALE_CHECK_IDLE_TIME));
    try {
      return usedRecently || !pooled.connection().isStale();
    } catch (IOException e) {
      return false;
    }
  }

  void returnToPool(String endpoint, ClientConnection connection) {
    connection.clearDeadline();
    idle.computeIfAbsent(endpoint, e -> new ConcurrentLinkedDeque<>())
        .addLast(new IdleConnection(connection, Instant.now().plus(IDLE_TIMEOUT)));
  }

  /** Closes the pooled connections to an endpoint, after one of them stopped responding. */
  public void discardIdle(String endpoint) {
    Deque<IdleConnection> pooled = idle.remove(endpoint);
    if (pooled != null) {
      pooled.forEach(i -> i.connection().close());
    }
  }

  private static BasicClassicHttpRequest toMessage(String endpoint, Request request) {
    BasicClassicHttpRequest httpRequest =
        new BasicClassicHttpRequest(request.method(), toHost(endpoint), request.target());
    for (Headers.Field field : request.headers().fields()) {
      httpRequest.addHeader(field.name(), field.value());
    }
    if (!request.body().isEmpty()) {
      httpRequest.setEntity(
          new StringEntity(
              request.body(), ContentType.APPLICATION_JSON.withCharset(StandardCharsets.UTF_8)));
    }
    return httpRequest;
  }

  private static HttpHost toHost(String endpoint) {
    int colon = endpoint.lastIndexOf(':');
    return new HttpHost(
        endpoint.substring(0, colon), Integer.parseInt(endpoint.substring(colon + 1)));
  }
}
