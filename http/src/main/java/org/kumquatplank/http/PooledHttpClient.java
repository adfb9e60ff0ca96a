package org.kumquatplank.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
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
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.http.protocol.RequestUserAgent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends requests and says of a failed one whether it was sent.
 *
 * <p>Thread-safe. Connections are kept for a short time; a call may insist on a fresh one, since a
 * kept one may have gone silent unnoticed.
 *
 * <pre>{@code
 * try (ClientReply reply = client.send("127.0.0.1:8080", Request.get("/status"), deadline, REUSE)) {
 *   String body = reply.readBody();
 * }
 * }</pre>
 */
public final class PooledHttpClient {
  private static final Duration CONNECT_WAIT = Duration.ofMillis(1_000);
  private static final Duration KEEP_IDLE = Duration.ofSeconds(5);
  private static final Duration TRUSTED_IDLE = Duration.ofSeconds(1);
  private static final long SHORTEST_WAIT_MILLIS = 1;
  // Without the usual Expect: 100-continue, which costs a wait of seconds where a server that has
  // read a small body already sees no need for the interim answer.
  private static final HttpProcessor PROCESSOR =
      HttpProcessorBuilder.create()
          .addAll(
              RequestTargetHost.INSTANCE,
              RequestContent.INSTANCE,
              RequestConnControl.INSTANCE,
              new RequestUserAgent("kumquatplank"))
          .build();

  private final DefaultBHttpClientConnectionFactory connections =
      DefaultBHttpClientConnectionFactory.builder().build();
  private final HttpRequestExecutor executor = new HttpRequestExecutor();
  private final ConcurrentHashMap<String, Deque<Idle>> idle = new ConcurrentHashMap<>();

  private PooledHttpClient() {}

  /** Which connections a call may use. */
  public enum Reuse {
    /** One that carried earlier calls, where there is one. */
    REUSE,
    /** Only a new one. */
    FRESH
  }

  /** A connection without a call, and the time until which it may be used again. */
  private record Idle(HttpClientConnection connection, Instant keepUntil) {}

  /** Returns a client without connections. */
  public static PooledHttpClient create() {
    return new PooledHttpClient();
  }

  /**
   * Sends a request and returns when the head of the answer is there.
   *
   * @param endpoint IP address and port, {@code a.b.c.d:port}
   * @param deadline time by which the head of the answer must be there
   * @throws CallException when there is no answer, saying whether the request was sent
   */
  public ClientReply send(String endpoint, Request request, Instant deadline, Reuse reuse) {
    HttpClientConnection connection = connect(endpoint, reuse);
    try {
      connection.setSocketTimeout(timeoutUntil(deadline));
      HttpCoreContext context = HttpCoreContext.create();
      BasicClassicHttpRequest message = messageOf(endpoint, request);
      executor.preProcess(message, PROCESSOR, context);
      ClassicHttpResponse response = executor.execute(message, connection, context);
      executor.postProcess(response, PROCESSOR, context);
      return new ClientReply(this, endpoint, connection, response);
    } catch (IOException | HttpException | RuntimeException e) {
      connection.close(CloseMode.IMMEDIATE);
      throw CallException.maybeSent(endpoint, e);
    }
  }

  /**
   * Sends a request and returns the whole answer.
   *
   * @throws CallException when there is no whole answer, saying whether the request was sent
   */
  public WholeReply exchange(String endpoint, Request request, Instant deadline, Reuse reuse) {
    try (ClientReply reply = send(endpoint, request, deadline, reuse)) {
      return new WholeReply(reply.status(), reply.headers(), reply.readBody(deadline));
    }
  }

  /**
   * An answer with its body.
   *
   * @param status HTTP status
   * @param headers header fields
   * @param body the body
   */
  public record WholeReply(int status, Headers headers, String body) {
    private static final int FIRST_ERROR_STATUS = 300;

    /** Returns whether the status tells of success. */
    public boolean isSuccess() {
      return status < FIRST_ERROR_STATUS;
    }
  }

  private HttpClientConnection connect(String endpoint, Reuse reuse) {
    if (reuse == Reuse.REUSE) {
      Optional<HttpClientConnection> kept = takeIdle(endpoint);
      if (kept.isPresent()) {
        return kept.get();
      }
    }
    try {
      int mark = endpoint.lastIndexOf(':');
      int port = Integer.parseInt(endpoint.substring(mark + 1));
      Socket socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(endpoint.substring(0, mark), port), (int) CONNECT_WAIT.toMillis());
      return connections.createConnection(socket);
    } catch (IOException | RuntimeException e) {
      throw CallException.notSent(endpoint, e);
    }
  }

  private Optional<HttpClientConnection> takeIdle(String endpoint) {
    Deque<Idle> kept = idle.get(endpoint);
    Idle next = kept == null ? null : kept.pollLast();
    while (next != null) {
      if (isUsable(next)) {
        return Optional.of(next.connection());
      }
      next.connection().close(CloseMode.IMMEDIATE);
      next = kept.pollLast();
    }
    return Optional.empty();
  }

  /** The library's test of a connection waits a millisecond, too long for one just used. */
  private static boolean isUsable(Idle kept) {
    Instant now = Instant.now();
    if (!now.isBefore(kept.keepUntil())) {
      return false;
    }
    boolean justUsed = now.isBefore(kept.keepUntil().minus(KEEP_IDLE).plus(TRUSTED_IDLE));
    try {
      return justUsed || !kept.connection().isStale();
    } catch (IOException e) {
      return false;
    }
  }

  void keep(String endpoint, HttpClientConnection connection) {
    idle.computeIfAbsent(endpoint, e -> new ConcurrentLinkedDeque<>())
        .addLast(new Idle(connection, Instant.now().plus(KEEP_IDLE)));
  }

  /** Closes the kept connections to an endpoint, since one of them was found silent. */
  public void discardIdle(String endpoint) {
    Deque<Idle> kept = idle.remove(endpoint);
    if (kept != null) {
      kept.forEach(i -> i.connection().close(CloseMode.IMMEDIATE));
    }
  }

  private static BasicClassicHttpRequest messageOf(String endpoint, Request request) {
    BasicClassicHttpRequest message =
        new BasicClassicHttpRequest(request.method(), hostOf(endpoint), request.target());
    for (Headers.Field field : request.headers().fields()) {
      message.addHeader(field.name(), field.value());
    }
    if (!request.body().isEmpty()) {
      message.setEntity(
          new StringEntity(
              request.body(), ContentType.APPLICATION_JSON.withCharset(StandardCharsets.UTF_8)));
    }
    return message;
  }

  private static HttpHost hostOf(String endpoint) {
    int mark = endpoint.lastIndexOf(':');
    return new HttpHost(
        endpoint.substring(0, mark), Integer.parseInt(endpoint.substring(mark + 1)));
  }

  static Timeout timeoutUntil(Instant deadline) {
    long millis = Duration.between(Instant.now(), deadline).toMillis();
    return Timeout.ofMilliseconds(Math.max(SHORTEST_WAIT_MILLIS, millis));
  }
}
