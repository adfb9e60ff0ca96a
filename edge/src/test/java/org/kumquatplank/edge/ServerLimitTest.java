package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Example;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** A backend server names the number of requests a second that it takes. */
class ServerLimitTest {
  private static final double LIMIT = 2;
  private static final long WINDOW_MILLIS = 4_000;

  /** One and a half times what the limit allows in the window, and 5 more. */
  private static final int ALLOWED = 17;

  private final List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  private Behaviour respondLimited() {
    arrivals.add(millis());
    return new Behaviour.AnswerWith("Server-Limit: " + LIMIT + "\r\n", "good");
  }

  private int mostInAWindow(long from) {
    int most = 0;
    for (long start : arrivals) {
      if (start >= from) {
        long end = start + WINDOW_MILLIS;
        most = Math.max(most, (int) arrivals.stream().filter(a -> a >= start && a < end).count());
      }
    }
    return most;
  }

  @Example
  void testBackendServerGetsNoMoreRequestsThanTheLimitThatItNamed()
      throws IOException, InterruptedException {
    try (EdgeFixture edge =
        EdgeFixture.start(r -> respondLimited(), r -> new Behaviour.Answer(200, "good"))) {
      long end = millis() + 10_000;
      for (int i = 0; millis() < end; i++) {
        assertThat(EdgeFixture.status(edge.send("GET", "/read/x", "l" + i, ""))).isEqualTo(200);
        Thread.sleep(10);
      }
      assertThat(arrivals).isNotEmpty();
      assertThat(mostInAWindow(arrivals.get(0) + WINDOW_MILLIS)).isBetween(1, ALLOWED);
    }
  }
}
