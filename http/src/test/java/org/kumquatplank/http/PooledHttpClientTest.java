package org.kumquatplank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import net.jqwik.api.Example;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.PooledHttpClient.Reuse;

class PooledHttpClientTest {
  private final PooledHttpClient client = PooledHttpClient.create();

  private static Instant inTenSeconds() {
    return Instant.now().plusSeconds(10);
  }

  private PooledHttpClient.FullResponse exchange(
      Handler handler, Request request, ServerLimits limits) {
    try (HttpListener listener = HttpListener.open("127.0.0.1", 0, limits, handler)) {
      return client.exchange("127.0.0.1:" + listener.port(), request, inTenSeconds(), Reuse.REUSE);
    }
  }

  @Example
  void testSmallBodyIsSentWithoutExpectContinue() {
    Handler handler =
        request ->
            Response.json(200, request.headers().first("Expect").orElse("none") + request.body());
    PooledHttpClient.FullResponse reply =
        exchange(handler, Request.post("/x", "body"), ServerLimits.defaults());
    assertThat(reply.body()).isEqualTo("nonebody");
  }

  @Example
  void testRefusedConnectionIsReportedAsNotSent() {
    HttpListener listener =
        HttpListener.open("127.0.0.1", 0, ServerLimits.defaults(), r -> Response.json(200, ""));
    int port = listener.port();
    listener.close();
    CallException e =
        catchThrowableOfType(
            CallException.class,
            () ->
                client.exchange(
                    "127.0.0.1:" + port, Request.get("/"), inTenSeconds(), Reuse.FRESH));
    assertThat(e.mayHaveBeenSent()).isFalse();
  }

  @Example
  void testTruncatedResponseIsReportedAsPossiblySent() {
    Handler handler =
        request ->
            new Response.Streamed(
                200,
                Headers.none(),
                "text/plain",
                sink -> {
                  throw new IOException("injected failure");
                });
    CallException e =
        catchThrowableOfType(
            CallException.class,
            () -> exchange(handler, Request.get("/"), ServerLimits.defaults()));
    assertThat(e.mayHaveBeenSent()).isTrue();
  }

  @Example
  void testOversizedBodyIsRejectedBeforeTheHandler() {
    ServerLimits small =
        new ServerLimits(10, 8, 1_000, 1_000, 20, Duration.ofSeconds(5), Duration.ofSeconds(5));
    PooledHttpClient.FullResponse reply =
        exchange(
            request -> {
              throw new AssertionError("the handler must not be called");
            },
            Request.post("/", "123456789"),
            small);
    RouterException e = ErrorResponses.parse(reply.body()).orElseThrow();
    assertThat(e.code()).isEqualTo(ErrorCode.BODY_TOO_LARGE);
    assertThat(reply.status()).isEqualTo(413);
  }

  @Example
  void testOversizedHeaderIsRejectedBeforeTheHandler() {
    PooledHttpClient.FullResponse reply =
        exchange(
            request -> {
              throw new AssertionError("the handler must not be called");
            },
            Request.get("/").withHeader("X-Long", "x".repeat(20_000)),
            ServerLimits.defaults());
    RouterException e = ErrorResponses.parse(reply.body()).orElseThrow();
    assertThat(e.code()).isEqualTo(ErrorCode.HEADER_TOO_LARGE);
    assertThat(reply.status()).isEqualTo(431);
  }

  @Example
  void testResponsesCarryConnectionCloseOnceTheListenerIsClosing() {
    try (HttpListener listener =
        HttpListener.open("127.0.0.1", 0, ServerLimits.defaults(), r -> Response.json(200, "{}"))) {
      String endpoint = "127.0.0.1:" + listener.port();
      Headers before =
          client.exchange(endpoint, Request.get("/"), inTenSeconds(), Reuse.REUSE).headers();
      listener.disableKeepAlive();
      Headers after =
          client.exchange(endpoint, Request.get("/"), inTenSeconds(), Reuse.REUSE).headers();
      assertThat(before.first("Connection")).contains("keep-alive");
      assertThat(after.first("Connection")).contains("close");
    }
  }
}
