package org.kumquatplank.edge.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.kumquatplank.edge.soak.LimitedInstance.Usage;

/**
 * An instance with little memory before callers that keep to nothing but the legal sizes: it lives,
 * stays within its memory and descriptors, and serves an ordinary request while they are connected.
 */
class CallerCrowdTest {
  private static final int HEAP_MEGABYTES = 24;
  private static final int START_ATTEMPTS = 80;
  private static final int CALLERS = 96;
  private static final int PIECE_BYTES = 16_384;
  private static final int PIPELINING_CALLERS = 4;
  private static final int PIPELINED_REQUESTS = 20_000;
  private static final int PIPELINED_LARGE_REQUESTS = 400;
  private static final int IDLE_CALLERS = 400;
  private static final int UPLOADS = 60;
  private static final int UPLOAD_HEAP_MEGABYTES = 48;

  /** Number of looks at the process while the crowd sends, and the pause between two. */
  private static final int LOOKS = 50;

  private static final long LOOK_MILLIS = 100;

  @Example
  void testManyWholeLargeBodies() throws IOException, InterruptedException {
    check(
        "whole-bodies", (crowd, i) -> crowd.add(i.callerPort(), CALLERS, (o, n) -> body(o, n, 0)));
  }

  @Example
  void testManyLargeBodiesThatEndAByteShort() throws IOException, InterruptedException {
    check(
        "unfinished-bodies",
        (crowd, i) ->
            crowd.add(i.callerPort(), CALLERS, (o, n) -> pieces(o, n, n % 4 == 0 ? 0 : 1)));
  }

  @Example
  void testManyChunkedBodiesThatDoNotEnd() throws IOException, InterruptedException {
    check("chunked-bodies", (crowd, i) -> crowd.add(i.callerPort(), CALLERS, this::chunks));
  }

  @Example
  void testRequestsSentAheadWhoseAnswersAreUnread() throws IOException, InterruptedException {
    check(
        "sent-ahead",
        (crowd, i) -> {
          crowd.add(
              i.callerPort(),
              PIPELINING_CALLERS,
              (o, n) -> requests(o, n, "/large/x", PIPELINED_LARGE_REQUESTS));
          crowd.add(
              i.callerPort(),
              PIPELINING_CALLERS,
              (o, n) -> requests(o, n, "/unknown/x", PIPELINED_REQUESTS));
        });
  }

  @Example
  void testHeadsOfManyShortLines() throws IOException, InterruptedException {
    check("short-lines", (crowd, i) -> crowd.add(i.callerPort(), CALLERS, this::shortLines));
  }

  @Example
  void testHeadsOfOddLines() throws IOException, InterruptedException {
    check("odd-lines", (crowd, i) -> crowd.add(i.callerPort(), CALLERS, this::oddLines));
  }

  @Example
  void testMixtureWhoseAnswersAreReadSlowly() throws IOException, InterruptedException {
    check(
        "mixture",
        (crowd, i) -> {
          crowd.add(i.callerPort(), CALLERS / 4, (o, n) -> body(o, n, 0));
          crowd.add(i.callerPort(), CALLERS / 4, (o, n) -> pieces(o, n, 1));
          crowd.add(i.callerPort(), CALLERS / 4, this::shortLines);
          crowd.add(
              i.callerPort(),
              CALLERS / 4,
              (o, n) -> requests(o, n, "/large/x", PIPELINED_LARGE_REQUESTS));
          Thread.sleep(LOOK_MILLIS);
          crowd.readSlowly();
        });
  }

  @Example
  void testRequestsToTheOtherListeners() throws IOException, InterruptedException {
    check(
        "other-listeners",
        (crowd, i) -> {
          for (int port : new int[] {i.readinessPort(), i.directoryPort(), i.metricsPort()}) {
            crowd.add(
                port, PIPELINING_CALLERS, (o, n) -> requests(o, n, "/metrics", PIPELINED_REQUESTS));
            crowd.add(port, CALLERS / 4, this::shortLines);
          }
        });
  }

  @Example
  void testIdleConnections() throws IOException, InterruptedException {
    check("idle", (crowd, i) -> crowd.add(i.callerPort(), IDLE_CALLERS, (o, n) -> {}));
  }

  @Example
  void testLargeUploadsOfSixtyCallersAreAnswered() throws IOException, InterruptedException {
    try (LimitedInstance instance =
        LimitedInstance.start("crowd-uploads", UPLOAD_HEAP_MEGABYTES, START_ATTEMPTS)) {
      String body = "u".repeat(LimitedInstance.MAX_BODY_BYTES);
      AtomicInteger answered = new AtomicInteger();
      List<Thread> uploads = new ArrayList<>();
      for (int i = 0; i < UPLOADS; i++) {
        String id = "u-" + i;
        uploads.add(
            Thread.ofVirtual()
                .start(
                    () -> {
                      if (instance.send(id, body).startsWith("HTTP/1.1 ")) {
                        answered.incrementAndGet();
                      }
                    }));
      }
      for (Thread upload : uploads) {
        upload.join();
      }
      Usage usage = instance.usage();
      String seen = seen(instance, usage, instance.servesOrdinaryRequest());
      assertThat(instance.isOutOfMemory()).as(seen).isFalse();
      assertThat(answered.get()).as(seen).isEqualTo(UPLOADS);
    }
  }

  /** A crowd of callers. */
  private interface Crowd {
    void join(CallerCrowd crowd, LimitedInstance instance) throws InterruptedException;
  }

  private static void check(String name, Crowd callers) throws IOException, InterruptedException {
    try (LimitedInstance instance =
            LimitedInstance.start("crowd-" + name, HEAP_MEGABYTES, START_ATTEMPTS);
        CallerCrowd crowd = new CallerCrowd()) {
      callers.join(crowd, instance);
      Usage most = new Usage(0, 0, 0, 0);
      for (int i = 0; i < LOOKS && instance.isAlive(); i++) {
        most = max(most, instance.usage());
        Thread.sleep(LOOK_MILLIS);
      }
      boolean serves = instance.servesOrdinaryRequest();
      most = max(most, instance.usage());
      String seen = seen(instance, most, serves);
      assertThat(instance.isAlive()).as(seen).isTrue();
      assertThat(instance.isOutOfMemory()).as(seen).isFalse();
      assertThat(serves).as(seen).isTrue();
      assertThat(most.peakBytes() + most.unreadBytes())
          .as(seen)
          .isLessThanOrEqualTo(1024L * 1024 * LimitedInstance.MEMORY_MEGABYTES);
      assertThat(most.descriptors()).as(seen).isLessThan(LimitedInstance.DESCRIPTORS);
      assertThat(most.sockets())
          .as(seen)
          .isLessThan(LimitedInstance.DESCRIPTORS - LimitedInstance.FILE_DESCRIPTORS);
    }
  }

  private static String seen(LimitedInstance instance, Usage most, boolean serves)
      throws IOException {
    String seen =
        "alive "
            + instance.isAlive()
            + ", out of memory "
            + instance.isOutOfMemory()
            + ", serves "
            + serves
            + ", "
            + most;
    System.out.println("crowd: " + seen);
    return seen;
  }

  private static Usage max(Usage a, Usage b) {
    return new Usage(
        Math.max(a.peakBytes(), b.peakBytes()),
        Math.max(a.unreadBytes(), b.unreadBytes()),
        Math.max(a.descriptors(), b.descriptors()),
        Math.max(a.sockets(), b.sockets()));
  }

  private static byte[] filled(int bytes) {
    byte[] body = new byte[bytes];
    Arrays.fill(body, (byte) 'b');
    return body;
  }

  private static String bodyHead(int caller) {
    return CallerCrowd.head("POST", "/hold/x", caller)
        + "Content-Length: "
        + LimitedInstance.MAX_BODY_BYTES
        + "\r\n\r\n";
  }

  private static void body(OutputStream out, int caller, int missing) throws IOException {
    CallerCrowd.write(out, bodyHead(caller));
    out.write(filled(LimitedInstance.MAX_BODY_BYTES - missing));
  }

  private static void pieces(OutputStream out, int caller, int missing) throws IOException {
    CallerCrowd.write(out, bodyHead(caller));
    byte[] piece = filled(PIECE_BYTES);
    int rest = LimitedInstance.MAX_BODY_BYTES - missing;
    for (; rest > 0; rest -= PIECE_BYTES) {
      out.write(piece, 0, Math.min(rest, PIECE_BYTES));
      out.flush();
    }
  }

  private void chunks(OutputStream out, int caller) throws IOException {
    CallerCrowd.write(
        out, CallerCrowd.head("POST", "/hold/x", caller) + "Transfer-Encoding: chunked\r\n\r\n");
    byte[] piece = filled(PIECE_BYTES);
    for (int sent = 0; sent < LimitedInstance.MAX_BODY_BYTES; sent += PIECE_BYTES) {
      CallerCrowd.write(out, Integer.toHexString(PIECE_BYTES) + "\r\n");
      out.write(piece);
      CallerCrowd.write(out, "\r\n");
    }
  }

  private static void requests(OutputStream out, int caller, String path, int count)
      throws IOException {
    byte[] request =
        (CallerCrowd.head("GET", path, caller) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    for (int i = 0; i < count; i++) {
      out.write(request);
    }
  }

  /** Every second head has its end, so that its request is open at the backend server. */
  private static void lines(OutputStream out, int caller, String repeated) throws IOException {
    StringBuilder head = new StringBuilder(CallerCrowd.head("GET", "/hold/x", caller));
    while (head.length() + repeated.length() < LimitedInstance.MAX_HEAD_BYTES * 9 / 10) {
      head.append(repeated);
    }
    CallerCrowd.write(out, head + (caller % 2 == 0 ? "\r\n" : ""));
  }

  private void shortLines(OutputStream out, int caller) throws IOException {
    lines(out, caller, "a:\r\n");
  }

  private void oddLines(OutputStream out, int caller) throws IOException {
    String odd =
        switch (caller % 4) {
          case 0 -> "x:1\r\n y\r\n";
          case 1 -> "n".repeat(1_000) + ":\r\n";
          case 2 -> "Accept: a\r\n";
          default -> "b\r\n";
        };
    lines(out, caller, odd);
  }
}
