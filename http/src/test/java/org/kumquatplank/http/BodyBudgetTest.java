package org.kumquatplank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.kumquatplank.core.error.RouterException;

class BodyBudgetTest {
  private static final int CALLERS = 60;
  private static final int BODY_BYTES = 32_000;

  private final List<String> closed = new ArrayList<>();

  private BodyBudget.Body open(BodyBudget budget, String name) {
    return budget.open(() -> closed.add(name));
  }

  @Example
  void testClosesTheLargestIncompleteBodyFirst() {
    BodyBudget budget = BodyBudget.of(300);
    open(budget, "small").add(10);
    BodyBudget.Body large = open(budget, "large");
    large.add(60);
    BodyBudget.Body other = open(budget, "other");
    other.add(40);
    assertThat(closed).containsExactly("large");
    assertThat(budget.heldBytes()).isEqualTo(150);
    assertThatThrownBy(() -> large.add(1)).isInstanceOf(RouterException.class);
    other.close();
    assertThat(budget.heldBytes()).isEqualTo(30);
  }

  @Example
  void testRejectsWhereOnlyCompleteBodiesAreLarger() {
    BodyBudget budget = BodyBudget.of(300);
    BodyBudget.Body served = open(budget, "served");
    served.add(90);
    served.complete();
    BodyBudget.Body next = open(budget, "next");
    assertThatThrownBy(() -> next.add(20)).isInstanceOf(RouterException.class);
    assertThat(closed).isEmpty();
    assertThat(budget.heldBytes()).isEqualTo(270);
  }

  /** Callers that stop a byte short of the end of their bodies hold memory as long as they stay. */
  @Example
  void testOrdinaryRequestIsAnsweredWhileManyBodiesStayIncomplete() throws IOException {
    ServerLimits limits =
        new ServerLimits(
            200,
            BODY_BYTES,
            10L * BODY_BYTES,
            8_192,
            64,
            Duration.ofSeconds(30),
            Duration.ofSeconds(10));
    List<Socket> callers = new ArrayList<>();
    try (HttpListener listener =
        HttpListener.open("127.0.0.1", 0, limits, request -> Response.json(200, "{}"))) {
      for (int i = 0; i < CALLERS; i++) {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), listener.port());
        callers.add(caller);
        caller.getOutputStream().write(head(BODY_BYTES));
        caller.getOutputStream().write(new byte[BODY_BYTES - 1]);
      }
      try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
        caller.getOutputStream().write(head(100));
        caller.getOutputStream().write(new byte[100]);
        byte[] start = caller.getInputStream().readNBytes(12);
        assertThat(new String(start, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
      }
      assertThat(listener.heldBodyBytes()).isLessThanOrEqualTo(10L * BODY_BYTES);
    } finally {
      for (Socket caller : callers) {
        caller.close();
      }
    }
  }

  private static byte[] head(int bodyBytes) {
    return ("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }
}
