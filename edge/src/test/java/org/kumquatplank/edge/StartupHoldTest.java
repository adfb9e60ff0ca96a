package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** Callers that come as soon as an instance listens, before it knows anything. */
class StartupHoldTest {
  private static final Behaviour GOOD = new Behaviour.Answer(200, "good");

  private static void pause(long millis) throws InterruptedException {
    Thread.sleep(millis);
  }

  @Example
  void testRequestBeforeTheConfigurationIsServedOnceItIsKnown() throws Exception {
    try (EdgeFixture edge = EdgeFixture.startWithEmptyStore(r -> GOOD);
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<String> response = callers.submit(() -> edge.send("GET", "/read/x", "early", ""));
      pause(200);
      edge.putServer(0);
      edge.putCatalog("\"key-1\"");
      assertThat(EdgeFixture.status(response.get())).isEqualTo(200);
    }
  }

  @Example
  void testRequestBeforeTheFirstServerIsListedIsServedOnceItIs() throws Exception {
    try (EdgeFixture edge = EdgeFixture.startWithEmptyStore(r -> GOOD);
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      edge.putCatalog("\"key-1\"");
      Future<String> response = callers.submit(() -> edge.send("GET", "/read/x", "early", ""));
      edge.await(() -> edge.openExchanges() == 1);
      edge.putServer(0);
      assertThat(EdgeFixture.status(response.get())).isEqualTo(200);
    }
  }

  @Example
  void testRequestIsRejectedWhenNoConfigurationComes() throws IOException {
    try (EdgeFixture edge = EdgeFixture.startWithEmptyStore(r -> GOOD)) {
      long start = System.nanoTime();
      String response = edge.send("GET", "/read/x", "early", "");
      assertThat(EdgeFixture.status(response)).isEqualTo(503);
      assertThat(response).contains("no configuration is known yet");
      assertThat((System.nanoTime() - start) / 1_000_000).isBetween(1_400L, 4_000L);
    }
  }

  @Example
  void testRequestWhoseCallerLeftIsNotSentWhenTheConfigurationComes() throws Exception {
    try (EdgeFixture edge = EdgeFixture.startWithEmptyStore(r -> GOOD)) {
      try (Socket caller = edge.connect()) {
        String head = EdgeFixture.head("GET", "/read/x", "left", "");
        caller.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
        caller.getOutputStream().flush();
        pause(200);
      }
      pause(100);
      edge.putServer(0);
      edge.putCatalog("\"key-1\"");
      edge.await(() -> edge.readiness() == 200);
      assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "next", ""))).isEqualTo(200);
      assertThat(edge.backend(0).ran()).containsExactly("next");
    }
  }
}
