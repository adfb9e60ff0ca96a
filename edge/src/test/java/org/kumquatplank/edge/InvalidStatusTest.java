package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Backend servers whose responses have no valid status, but all else that a response needs. */
class InvalidStatusTest {
  private static final String[] STATUS_LINES = {
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 -1 OK",
    "HTTP/2.0 200 OK",
    "ICY/1.1 200 OK"
  };

  private static Behaviour respond(Received request, String statusLine) {
    return new Behaviour.Raw(
        FakeBackendServer.openHead(request).replace("HTTP/1.1 200 OK", statusLine)
            + "Content-Length: 2\r\n\r\nok");
  }

  /** Guards against a status without meaning that is forwarded as an answer. */
  @Example
  void testResponseWithAnInvalidStatusIsNotForwarded() throws IOException {
    for (String line : STATUS_LINES) {
      try (EdgeFixture edge = EdgeFixture.start(r -> respond(r, line))) {
        String response = edge.send("POST", "/order/x", "o", "");
        assertThat(response).as(line).startsWith("HTTP/1.1 502 ");
        assertThat(response).doesNotContain("seal-of");
        assertThat(edge.backend(0).ran()).containsExactly("o");
      }
    }
  }

  @Example
  void testRequestThatMayBeRepeatedIsServedElsewhere() throws IOException {
    try (EdgeFixture edge =
        EdgeFixture.start(
            r -> respond(r, "HTTP/1.1 000 OK"), r -> new Behaviour.Answer(200, "good"))) {
      for (int i = 0; i < 5; i++) {
        assertThat(edge.send("GET", "/read/x", "r" + i, "")).endsWith("good");
      }
      assertThat(edge.backend(0).ran()).isNotEmpty();
    }
  }

  @Example
  void testValidStatusesAreForwarded() throws IOException {
    for (int status : new int[] {200, 299, 302, 404, 599}) {
      try (EdgeFixture edge = EdgeFixture.start(r -> respond(r, "HTTP/1.1 " + status + " S"))) {
        String response = edge.send("POST", "/order/x", "o", "");
        assertThat(EdgeFixture.status(response)).isEqualTo(status);
        assertThat(response).endsWith("ok");
      }
    }
  }
}
