package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeStore;

class EntryTest {
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");

  @Example
  void testRejectsUnknownRoutesAndKeys() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      assertThat(EdgeFixture.status(edge.send("GET", "/none/x", "a", ""))).isEqualTo(404);
      String otherKey =
          EdgeFixture.head("GET", "/read/x", "b", "Connection: close\r\n")
              .replace("key-1", "key-9");
      assertThat(EdgeFixture.status(edge.sendRaw(otherKey))).isEqualTo(401);
      assertThat(edge.backend(0).received()).isEmpty();
    }
  }

  @Example
  void testMalformedRequestGetsAnErrorReachesNoBackendAndClosesTheConnection() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      String both =
          EdgeFixture.head(
              "POST", "/order/x", "a", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n");
      assertThat(EdgeFixture.status(edge.sendRaw(both + "0\r\n\r\n"))).isEqualTo(400);
      String lengths =
          EdgeFixture.head("POST", "/order/x", "b", "Content-Length: 3\r\nContent-Length: 4\r\n");
      assertThat(EdgeFixture.status(edge.sendRaw(lengths + "abc"))).isEqualTo(400);
      String large =
          EdgeFixture.head("GET", "/read/x", "c", "X-Big: " + "x".repeat(9_000) + "\r\n");
      assertThat(EdgeFixture.status(edge.sendRaw(large))).isEqualTo(431);
      String body = EdgeFixture.head("POST", "/order/x", "d", "Content-Length: 99999999\r\n");
      assertThat(EdgeFixture.status(edge.sendRaw(body))).isEqualTo(413);
      assertThat(EdgeFixture.status(edge.sendRaw("GET /read/x HTT"))).isEqualTo(408);
      assertThat(EdgeFixture.status(edge.sendRaw("\u0016\u0003\u0001 no http\r\n\r\n")))
          .isEqualTo(400);
      assertThat(edge.backend(0).received()).isEmpty();
    }
  }

  @Example
  void testRequestSmuggledInABodyIsNotRun() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      String inner = EdgeFixture.head("POST", "/order/x", "inner", "");
      String response =
          edge.sendRaw(
              EdgeFixture.head(
                      "POST",
                      "/order/x",
                      "outer",
                      "Connection: close\r\nContent-Length: " + inner.length() + "\r\n")
                  + inner);
      assertThat(EdgeFixture.status(response)).isEqualTo(200);
      assertThat(edge.backend(0).ran()).containsExactly("outer");
    }
  }

  /** Guards against a configuration without a key left in which any key runs. */
  @Example
  void testNoKeyRunsOnceTheLastOneIsRevoked() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      edge.putCatalog("");
      edge.await(() -> statusOf(edge) == 401);
      int before = edge.backend(0).received().size();
      String withOtherKey =
          EdgeFixture.head("GET", "/read/x", "b", "Connection: close\r\n")
              .replace("key-1", "key-9");
      assertThat(EdgeFixture.status(edge.sendRaw(withOtherKey))).isEqualTo(401);
      String withoutKey = withOtherKey.replace("Authorization: Token key-9\r\n", "");
      assertThat(EdgeFixture.status(edge.sendRaw(withoutKey))).isEqualTo(401);
      assertThat(edge.backend(0).received()).hasSize(before);
    }
  }

  @Example
  void testRevokedKeyIsRejectedAfterTheStoreLostItsHistory() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "a", ""))).isEqualTo(200);
      edge.store().setFault(FakeStore.Fault.DOWN);
      edge.putCatalog("\"key-2\"");
      edge.store().forgetHistory("op");
      assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "b", ""))).isEqualTo(200);
      edge.store().setFault(FakeStore.Fault.NONE);
      edge.await(() -> statusOf(edge) == 401);
    }
  }

  /** The key or route may have been added since the store was last heard of. */
  @Example
  void testUnknownKeyAndRouteAreNotRejectedAsWrongByAnOutdatedConfiguration() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      edge.store().setFault(FakeStore.Fault.DOWN);
      edge.await(() -> statusOf(edge, "/none/x") == 503);
      String otherKey =
          EdgeFixture.head("GET", "/read/x", "b", "Connection: close\r\n")
              .replace("key-1", "key-9");
      assertThat(EdgeFixture.status(edge.sendRaw(otherKey))).isEqualTo(503);
      assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "c", ""))).isEqualTo(200);
      edge.store().setFault(FakeStore.Fault.NONE);
      edge.await(() -> statusOf(edge, "/none/x") == 404);
    }
  }

  private static int statusOf(EdgeFixture edge) {
    return statusOf(edge, "/read/x");
  }

  private static int statusOf(EdgeFixture edge, String path) {
    try {
      return EdgeFixture.status(edge.send("GET", path, "poll", ""));
    } catch (IOException e) {
      return 0;
    }
  }

  @Example
  void testUnreadableServerRecordIsSkippedAndOthersStayInUse() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD)) {
      edge.store().put("servers", "i-x", "{\"service\":17}");
      edge.store().put("servers", "i-y", "no JSON");
      assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "a", ""))).isEqualTo(200);
    }
  }

  @Example
  void testDrainingBackendGetsNoNewRequests() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> GOOD, r -> new Behaviour.Answer(200, "other"))) {
      edge.store().put("servers", "i-0", edge.backend(0).entry("pool", "draining"));
      edge.store().drop("servers", "i-1");
      edge.await(() -> statusOf(edge) == 503);
      int before = edge.backend(0).received().size() + edge.backend(1).received().size();
      assertThat(statusOf(edge)).isEqualTo(503);
      assertThat(edge.backend(0).received().size() + edge.backend(1).received().size())
          .isEqualTo(before);
    }
  }

  @Example
  void testDrainingInstanceFinishesOpenRequestsAndClosesTheConnection() throws Exception {
    try (EdgeFixture edge =
            EdgeFixture.start(
                r -> {
                  sleep(400);
                  return GOOD;
                });
        Socket caller = edge.connect()) {
      byte[] request =
          EdgeFixture.head("POST", "/order/x", "a", "Content-Length: 0\r\n")
              .getBytes(StandardCharsets.UTF_8);
      caller.getOutputStream().write(request);
      edge.await(() -> !edge.backend(0).received().isEmpty());
      Thread draining = Thread.ofVirtual().start(() -> edge.dataPlane().drain());
      edge.await(() -> edge.readiness() == 503);
      InputStream in = caller.getInputStream();
      String response = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      assertThat(EdgeFixture.status(response)).isEqualTo(200);
      assertThat(response.toLowerCase(Locale.ROOT)).contains("connection: close");
      draining.join();
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
