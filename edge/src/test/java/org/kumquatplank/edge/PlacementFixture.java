package org.kumquatplank.edge;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Received;

/** Helpers for tests of where requests are sent. */
final class PlacementFixture {
  static final Behaviour GOOD = new Behaviour.Answer(200, "good");

  private PlacementFixture() {}

  /** Starts an instance with a backend server in each of two failure domains. */
  static EdgeFixture start(
      Function<Received, Behaviour> first,
      String firstDomain,
      Function<Received, Behaviour> second,
      String secondDomain,
      Consumer<EdgeFixture> prepared)
      throws IOException {
    return EdgeFixture.start(
        8_000,
        List.of(first, second),
        edge -> {
          edge.move(0, firstDomain);
          edge.move(1, secondDomain);
          prepared.accept(edge);
        });
  }

  static String send(EdgeFixture edge) {
    try {
      return edge.send("GET", "/read/x", "r" + System.nanoTime(), "");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  static int received(EdgeFixture edge, int backend) {
    return edge.backend(backend).received().size();
  }

  /** Returns the value of a counter or gauge, or 0 if it has none yet. */
  static long metric(EdgeFixture edge, String name) {
    return edge.dataPlane()
        .metrics()
        .text()
        .lines()
        .filter(line -> line.startsWith("kumquatplank_" + name + " "))
        .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1)))
        .sum();
  }

  /** Returns a behaviour that waits for a latch and then behaves as given. */
  static Behaviour after(CountDownLatch latch, Behaviour behaviour) {
    try {
      if (!latch.await(7, TimeUnit.SECONDS)) {
        throw new AssertionError("not released within 7 s");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
    return behaviour;
  }
}
