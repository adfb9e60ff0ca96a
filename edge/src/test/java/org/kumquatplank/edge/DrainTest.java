package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** An instance that is asked to stop while requests are open or wait. */
class DrainTest {
  private static final long GRACE_MILLIS = 2_400;

  /** More requests than the backend server takes at once, so that the others wait. */
  private static final int REQUESTS = 12;

  private static EdgeFixture startWithSilentServer() throws IOException {
    return EdgeFixture.start(GRACE_MILLIS, List.of(r -> new Behaviour.Silent()));
  }

  private static List<Future<String>> sendAll(ExecutorService callers, EdgeFixture edge) {
    List<Future<String>> responses = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "u" + i;
      responses.add(
          callers.submit(() -> edge.send("POST", "/order/x", id, "Content-Length: 0\r\n")));
    }
    return responses;
  }

  /** Guards against requests that wait at a stop signal and end without any response. */
  @Example
  void testQueuedRequestsAreRejectedAsNotRunAndOpenOnesAsUnknown() throws Exception {
    try (EdgeFixture edge = startWithSilentServer();
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> responses = sendAll(callers, edge);
      edge.await(() -> edge.openExchanges() == REQUESTS);
      edge.await(() -> !edge.backend(0).received().isEmpty());
      edge.dataPlane().drain();
      int rejected = 0;
      int unknown = 0;
      for (Future<String> response : responses) {
        int status = EdgeFixture.status(response.get());
        assertThat(status).isIn(502, 503);
        rejected += status == 503 ? 1 : 0;
        unknown += status == 502 ? 1 : 0;
      }
      assertThat(unknown).isEqualTo(edge.backend(0).received().size());
      assertThat(rejected).isEqualTo(REQUESTS - unknown).isPositive();
    }
  }

  /** Guards against requests that are sent late in the grace period and cut at its end. */
  @Example
  void testRequestsThatComeLateInTheGracePeriodAreNotSent() throws Exception {
    try (EdgeFixture edge = startWithSilentServer();
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
        Socket late = edge.connect()) {
      List<Future<String>> responses = sendAll(callers, edge);
      edge.await(() -> edge.openExchanges() == REQUESTS);
      Thread draining = Thread.ofVirtual().start(() -> edge.dataPlane().drain());
      // The rejection of the requests that waited shows that no more are accepted.
      edge.await(() -> edge.openExchanges() == edge.backend(0).received().size());
      int sent = edge.backend(0).received().size();
      late.getOutputStream()
          .write(
              EdgeFixture.head("POST", "/order/x", "late", "Content-Length: 0\r\n")
                  .getBytes(StandardCharsets.UTF_8));
      String response = new String(late.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(EdgeFixture.status(response)).isEqualTo(503);
      assertThat(response.toLowerCase(Locale.ROOT)).contains("connection: close");
      draining.join();
      for (Future<String> open : responses) {
        assertThat(EdgeFixture.status(open.get())).isIn(502, 503);
      }
      assertThat(edge.backend(0).received()).hasSize(sent);
    }
  }

  /** Guards against a response that is cut since its caller reads slowly. */
  @Example
  void testResponseToASlowCallerIsWrittenWholeBeforeTheProcessEnds() throws Exception {
    String large = "x".repeat(7 * 1024 * 1024);
    try (EdgeFixture edge =
            EdgeFixture.start(4_000, List.of(r -> new Behaviour.Answer(200, large)));
        Socket idle = edge.connect();
        Socket caller = new Socket()) {
      caller.setReceiveBufferSize(4_096);
      caller.connect(edge.callerAddress());
      caller
          .getOutputStream()
          .write(
              EdgeFixture.head("POST", "/order/x", "a", "Content-Length: 0\r\n")
                  .getBytes(StandardCharsets.UTF_8));
      InputStream in = caller.getInputStream();
      byte[] start = in.readNBytes(1_024);
      edge.await(() -> edge.openExchanges() == 0);
      Thread draining = Thread.ofVirtual().start(() -> edge.dataPlane().drain());
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
      byte[] rest = in.readAllBytes();
      String all =
          new String(start, StandardCharsets.UTF_8) + new String(rest, StandardCharsets.UTF_8);
      assertThat(EdgeFixture.body(all)).hasSize(large.length());
      draining.join();
    }
  }
}
