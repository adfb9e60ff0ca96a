package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Collections;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Requests with one prompt segment end each backend server that begins to answer them. */
class CrashingSegmentTest {
  private static final int BACKENDS = 6;

  /** Time within which an instance must have acted upon the fifth crash. */
  private static final long STABLE_WINDOW_MILLIS = 4_000;

  private static final long DOWN_MILLIS = 500;
  private static final String CRASHING = "bad0";

  private final AtomicInteger arrived = new AtomicInteger();
  private int requests;

  private Behaviour respond(Received request) {
    if (request.header("X-Prompt-Prefix").contains(CRASHING)) {
      arrived.incrementAndGet();
      return new Behaviour.Crash(DOWN_MILLIS);
    }
    return new Behaviour.Stream(4, 0, 100);
  }

  private int send(EdgeFixture edge, String sharedSegment) throws IOException {
    requests++;
    String prefix = String.format(Locale.ROOT, "a1:50,%s:20,e%d:5", sharedSegment, requests);
    return EdgeFixture.status(
        edge.send(
            "POST",
            "/tell/x",
            "t" + requests,
            "X-Model: *\r\nX-Token-Counts: 75,20\r\nX-Prompt-Prefix: " + prefix + "\r\n"));
  }

  private static int crashes(EdgeFixture edge) {
    int sum = 0;
    for (int i = 0; i < BACKENDS; i++) {
      sum += edge.backend(i).crashes();
    }
    return sum;
  }

  @SuppressWarnings("unchecked")
  private EdgeFixture start() throws IOException {
    Function<Received, Behaviour> script = this::respond;
    return EdgeFixture.start(Collections.nCopies(BACKENDS, script).toArray(Function[]::new));
  }

  @Example
  void testSegmentUnderWhichFiveServersCrashedIsSentAtMostThreeTimesMore()
      throws IOException, InterruptedException {
    try (EdgeFixture edge = start()) {
      long windowEnd = Long.MAX_VALUE;
      long end = System.nanoTime() + 30_000_000_000L;
      int arrivedInWindow = 0;
      int sound = 0;
      int begun = 0;
      for (int i = 0; i < 40 || System.nanoTime() < windowEnd + 4_000_000_000L; i++) {
        send(edge, CRASHING);
        boolean windowOver = System.nanoTime() > windowEnd;
        int status = send(edge, "c" + i % 3);
        if (windowOver) {
          sound++;
          begun += status == 200 ? 1 : 0;
        } else {
          arrivedInWindow = arrived.get();
        }
        if (windowEnd == Long.MAX_VALUE && (crashes(edge) >= 5 || i >= 40)) {
          windowEnd = System.nanoTime() + STABLE_WINDOW_MILLIS * 1_000_000;
        }
        assertThat(System.nanoTime()).isLessThan(end);
        Thread.sleep(100);
      }
      assertThat(arrived.get() - arrivedInWindow).isLessThanOrEqualTo(3);
      assertThat(sound).isGreaterThanOrEqualTo(20);
      assertThat(begun).isGreaterThanOrEqualTo(sound / 2);
    }
  }
}
