package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Backend servers that refuse a request as misdirected. */
class MisdirectedRequestTest {
  private static Behaviour respond(Received request, boolean namesServer) {
    return request.header("x-model").equals("none")
        ? new Behaviour.Misdirected(namesServer)
        : new Behaviour.Stream(2, 0, 100);
  }

  private static void assertOthersAreServed(EdgeFixture edge) throws IOException {
    for (int i = 0; i < 20; i++) {
      String response = edge.send("POST", "/tell/x", "t" + i, "X-Model: *\r\n");
      assertThat(EdgeFixture.status(response)).isEqualTo(200);
    }
  }

  /** Guards against one request with a wrong model that takes all backend servers out of use. */
  @Example
  void testWrongModelOfOneRequestKeepsTheServersInUse() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> respond(r, true), r -> respond(r, true))) {
      String wrong = edge.send("POST", "/tell/x", "wrong", "X-Model: none\r\n");
      assertThat(EdgeFixture.status(wrong)).isEqualTo(421);
      assertOthersAreServed(edge);
    }
  }

  @Example
  void testRefusalsThatNameNoServerKeepTheServersInUse() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> respond(r, false), r -> respond(r, false))) {
      for (int i = 0; i < 5; i++) {
        String wrong = edge.send("POST", "/tell/x", "wrong" + i, "X-Model: none\r\n");
        assertThat(EdgeFixture.status(wrong)).isEqualTo(503);
      }
      assertOthersAreServed(edge);
    }
  }

  @Example
  void testServerWhoseAddressAnotherOneHasGetsNoMoreRequests() throws IOException {
    try (EdgeFixture edge = EdgeFixture.start(r -> new Behaviour.Answer(200, "good"))) {
      edge.store().put("servers", "i-gone", edge.backend(0).entry("pool", "ready"));
      edge.await(() -> sendAndCountGone(edge) > 0);
      for (int i = 0; i < 20; i++) {
        assertThat(sendAndCountGone(edge)).isEqualTo(1);
      }
    }
  }

  /** Sends a request and returns how many have reached the address for the server that is gone. */
  private static long sendAndCountGone(EdgeFixture edge) {
    try {
      assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "r", ""))).isEqualTo(200);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
    return edge.backend(0).received().stream()
        .filter(r -> r.header("x-target-replica").equals("i-gone"))
        .count();
  }
}
