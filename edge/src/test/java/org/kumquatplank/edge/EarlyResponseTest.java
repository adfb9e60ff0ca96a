package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.End;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/**
 * Backend servers that respond to a long upload before they have read it. The end of the connection
 * ends a body without length only if the upload went through.
 */
class EarlyResponseTest {
  private static final int UPLOAD_BYTES = 3 * 1024 * 1024;
  private static final long[] PAUSES_MILLIS = {0, 5, 40};
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");

  private static Behaviour part(Received request, End end, long pauseMillis) {
    return new Behaviour.RawEnd(
        FakeBackendServer.openHead(request) + "\r\npart of a bo", end, pauseMillis);
  }

  /** Starts an instance whose first backend server responds early to uploads. */
  @SafeVarargs
  private static EdgeFixture start(Function<Received, Behaviour>... scripts) throws IOException {
    EdgeFixture edge =
        EdgeFixture.start(8_000, List.of(scripts), f -> f.putMaxBodyBytes(UPLOAD_BYTES));
    edge.backend(0).respondEarly(head -> true);
    return edge;
  }

  private static String upload(EdgeFixture edge, String path, String id) throws IOException {
    String headers = "Connection: close\r\nContent-Length: " + UPLOAD_BYTES + "\r\n";
    return edge.sendRaw(EdgeFixture.head("POST", path, id, headers) + "x".repeat(UPLOAD_BYTES));
  }

  /** Guards against a part of a body that is forwarded as the whole one, with a length. */
  @Example
  void testPartOfABodyIsNotForwardedAsWholeWhenTheUploadIsReset() throws IOException {
    for (End end : new End[] {End.RESET, End.HALF_CLOSE_AND_RESET}) {
      for (long pause : PAUSES_MILLIS) {
        try (EdgeFixture edge = start(r -> part(r, end, pause))) {
          String response = upload(edge, "/order/x", "o");
          assertThat(EdgeFixture.status(response)).as(end + " " + pause).isEqualTo(502);
          assertThat(response).doesNotContain("part of").doesNotContain("seal-of");
          assertThat(edge.backend(0).ran()).containsExactly("o");
        }
      }
    }
  }

  @Example
  void testRequestThatMayBeRepeatedIsServedElsewhere() throws IOException {
    try (EdgeFixture edge = start(r -> part(r, End.HALF_CLOSE_AND_RESET, 20), r -> GOOD)) {
      for (int i = 0; i < 5; i++) {
        assertThat(upload(edge, "/read/x", "r" + i)).endsWith("good");
      }
      assertThat(edge.backend(0).ran()).isNotEmpty();
    }
  }

  @Example
  void testStreamWithoutLengthIsNotEndedAsComplete() throws IOException {
    try (EdgeFixture edge =
        start(
            r ->
                new Behaviour.RawEnd(
                    FakeBackendServer.openHead(r) + "\r\nid: 1\ndata: piece 1\n\n",
                    End.HALF_CLOSE_AND_RESET,
                    20))) {
      String response = upload(edge, "/tell/x", "t");
      assertThat(response).doesNotEndWith("0\r\n\r\n");
    }
  }

  @Example
  void testFailureWithoutLengthIsNotForwardedInPart() throws IOException {
    try (EdgeFixture edge =
        start(
            r ->
                new Behaviour.RawEnd(
                    FakeBackendServer.openHead(r).replace("200 OK", "500 Failed") + "\r\npart of",
                    End.HALF_CLOSE_AND_RESET,
                    20))) {
      String response = upload(edge, "/order/x", "o");
      assertThat(EdgeFixture.status(response)).isEqualTo(502);
      assertThat(response).doesNotContain("part of");
    }
  }

  /** The server ends its direction first and reads the upload, as RFC 9112 advises. */
  @Example
  void testBodyWithoutLengthIsWholeWhenTheUploadGoesThrough() throws IOException {
    try (EdgeFixture edge = start(r -> part(r, End.HALF_CLOSE_AND_READ, 0))) {
      for (int i = 0; i < 3; i++) {
        String response = upload(edge, "/order/x", "o" + i);
        assertThat(EdgeFixture.status(response)).isEqualTo(200);
        assertThat(response).endsWith("part of a bo");
      }
    }
  }

  @Example
  void testBodyWithLengthIsWholeThoughTheUploadIsReset() throws IOException {
    try (EdgeFixture edge =
        start(
            r ->
                new Behaviour.RawEnd(
                    FakeBackendServer.openHead(r) + "Content-Length: 4\r\n\r\ngood",
                    End.HALF_CLOSE_AND_RESET,
                    40))) {
      String response = upload(edge, "/order/x", "o");
      assertThat(EdgeFixture.status(response)).isEqualTo(200);
      assertThat(response).endsWith("good");
      assertThat(response.toLowerCase(Locale.ROOT)).contains("content-length: 4");
    }
  }

  @Example
  void testConnectionThatTheServerHalfClosesWhileIdleIsNotUsedAgain() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(
            r ->
                new Behaviour.RawEnd(
                    FakeBackendServer.openHead(r) + "Content-Length: 4\r\n\r\ngood",
                    End.HALF_CLOSE_AND_READ,
                    0))) {
      for (int i = 0; i < 10; i++) {
        assertThat(edge.send("POST", "/order/x", "o" + i, "")).endsWith("good");
        // The server ends its direction after the response; a request in between crosses the end.
        EdgeFixture.pause(50);
      }
      assertThat(edge.backend(0).ran()).hasSize(10);
    }
  }
}
